//! A TCP connection with its read buffer.

use std::{io, net::SocketAddr, time::Duration};

use bytes::BytesMut;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    time,
};

/// Bytes of room kept free in a read buffer. Events of a stream have some hundred bytes.
const READ_BYTES: usize = 4_096;
/// Most bytes of room for one read.
const MAX_READ_BYTES: usize = 65_536;
/// Time without an acknowledgement after which the operating system gives a connection up. A peer
/// behind a partition sends no reset.
const ACK_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A TCP connection and the bytes that were read from it and not used yet.
#[derive(Debug)]
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes that were read and not used yet.
    pub buffer: BytesMut,
}

/// Listens on an address. The connections that are accepted there take over the options of the
/// listener, so that none of them costs a call of the operating system for it.
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
    /// Takes over an open connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the options of the socket cannot be set.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        set_options(&socket2::SockRef::from(&stream))?;
        Ok(Self::accepted(stream))
    }

    /// Takes over a connection that was accepted at a listener of [`listen`].
    #[must_use]
    pub fn accepted(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no connection within the limit.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = time::timeout(limit, TcpStream::connect(address)).await;
        Self::new(stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??)
    }

    /// Reads more bytes into the buffer and returns how many; 0 if the other side closed.
    ///
    /// Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.fill_up_to(READ_BYTES).await
    }

    /// Like [`Connection::fill`], with room for so many bytes, if more of them are expected than
    /// usual. Each read costs a call of the operating system.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke.
    pub async fn fill_up_to(&mut self, bytes: usize) -> io::Result<usize> {
        self.buffer.reserve(bytes.clamp(READ_BYTES, MAX_READ_BYTES));
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Returns whether bytes have arrived that were not read yet. The operating system is asked,
    /// since the runtime learns it later.
    #[must_use]
    pub fn has_arrived(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_ok_and(|bytes| bytes > 0)
    }

    /// Returns whether nothing arrived since the last use and the other side did not close.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty()
            && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Makes the end of a connection a reset, which tells the other side that what it read may be
/// incomplete.
///
/// # Errors
///
/// Returns an error if the option of the socket cannot be set.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
