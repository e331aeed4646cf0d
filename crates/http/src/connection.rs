//! A TCP connection with its read buffer.

use std::{
    hash::{DefaultHasher, Hash as _, Hasher as _},
    io,
    net::SocketAddr,
    time::Duration,
};

use bytes::BytesMut;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    time,
};

/// Minimum free capacity of a read buffer in bytes. Events of a stream have a few hundred bytes.
pub const MIN_READ_BYTES: usize = 4_096;
/// `TCP_USER_TIMEOUT`: the operating system closes a connection when sent data stays unacknowledged
/// for this long. A peer behind a network partition sends no reset.
const ACK_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The same while a long message is sent. The operating system does not distinguish a peer that is gone from one that
/// reads later: it counts data that does not fit into the peer's buffer as unacknowledged. Requests end earlier.
const LONG_ACK_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum number of refused requests that a connection remembers.
const MAX_REFUSED: usize = 32;

/// A TCP connection with the bytes that were read from it and not consumed yet.
#[derive(Debug)]
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes that were read and not consumed yet.
    pub buffer: BytesMut,
    /// Hashes of the identifiers of the requests that the peer refused on this connection.
    refused: Vec<u64>,
}

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Listens on an address. Accepted connections inherit the socket options of the listener, which saves
/// the system calls to set them on each connection.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on or the options cannot be set.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    set_options(&socket2::SockRef::from(&listener))?;
    Ok(listener)
}

fn set_options(socket: &socket2::SockRef<'_>) -> io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}

impl Connection {
    /// Wraps an open connection and sets its socket options.
    ///
    /// # Errors
    ///
    /// Returns an error if the options of the socket cannot be set.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        set_options(&socket2::SockRef::from(&stream))?;
        Ok(Self::accepted(stream))
    }

    /// Wraps a connection that was accepted by a listener from [`listen`].
    #[must_use]
    pub fn accepted(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            refused: Vec::new(),
        }
    }

    /// Records that the peer refused a request. Returns whether the connection may be used again: it
    /// remembers a limited number of refusals.
    pub fn record_refusal(&mut self, id: &str) -> bool {
        self.refused.push(hash(id));
        self.refused.len() < MAX_REFUSED
    }

    /// Returns whether the peer refused a request with this identifier on the connection. If it wrote
    /// that refusal again, it could not be told from the response to the same request.
    #[must_use]
    pub fn has_refused(&self, id: &str) -> bool {
        !self.refused.is_empty() && self.refused.contains(&hash(id))
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is established before the timeout.
    pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = time::timeout(timeout, TcpStream::connect(address)).await;
        Self::new(stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??)
    }

    /// Sets whether the peer may leave sent data unread for minutes, as an upstream may do with a request that is
    /// longer than its buffer. Data that the peer's system does not acknowledge ends the connection after seconds
    /// otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error if the option of the socket cannot be set.
    pub fn allow_late_reads(&self, allow: bool) -> io::Result<()> {
        let timeout = if allow { LONG_ACK_TIMEOUT } else { ACK_TIMEOUT };
        socket2::SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout))
    }

    /// Reads more bytes into the buffer and returns how many; 0 if the peer closed its side.
    ///
    /// Cancel safe: dropping the future loses no data.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(MIN_READ_BYTES);
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Like [`Connection::fill`], but reads at most `most` bytes, for which the buffer grows if it has to.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke.
    pub async fn fill_at_most(&mut self, most: usize) -> io::Result<usize> {
        self.buffer.reserve(most);
        let mut limited = (&mut self.stream).take(most as u64);
        limited.read_buf(&mut self.buffer).await
    }

    /// Returns whether the socket holds bytes that were not read yet. This peeks at the socket directly,
    /// since the async runtime learns of new bytes later.
    #[must_use]
    pub fn has_unread_bytes(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_ok_and(|bytes| bytes > 0)
    }

    /// Returns whether no bytes arrived since the last use and the peer did not close its side.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty()
            && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Makes closing the connection send a reset, which tells the peer that the data it read may be
/// incomplete.
///
/// # Errors
///
/// Returns an error if the option of the socket cannot be set.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
