//! One request and its response on a connection to an upstream.

use std::io;

use bytes::{buf::Chain, Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tsw_base::stated;

use crate::{body, connection::Connection, field::Fields, head};

/// Maximum number of bytes in the head of a response.
const MAX_HEAD_BYTES: usize = 32_768;
/// Maximum number of interim responses before the final one. A single `100 Continue` is usual; more
/// serve no purpose.
const MAX_INTERIM_RESPONSES: usize = 8;
/// Status of a response after which the connection no longer carries HTTP.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Maximum number of body bytes of a skipped response. A duplicate response usually has a few
/// kilobytes.
const MAX_SKIPPED_BYTES: usize = 1 << 20;
/// Maximum number of bytes of a request that are sure to fit into the upstream's receive buffer.
const MAX_BUFFERED_REQUEST_BYTES: usize = 16_384;
/// Minimum free capacity of a read buffer in bytes.
const MIN_READ_BYTES: usize = 4_096;

/// Why there is no complete response. The upstream may have received the request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection broke or was reset.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// The connection ended before the head of the response.
    #[error("the connection ended without a response")]
    Closed,
    /// The upstream sent too many interim responses, or too long a response to another request.
    #[error("too many interim responses, or too long a response to another request")]
    TooMuchSkipped,
    /// The upstream changes to another protocol, for which no request asks.
    #[error("the upstream changed to another protocol")]
    Upgrade,
    /// The head of the response is malformed.
    #[error(transparent)]
    Head(#[from] head::Error),
    /// The body of the response is malformed or truncated.
    #[error(transparent)]
    Body(#[from] body::Error),
}

/// An exchange whose response head has arrived. Dropping it closes the connection, which tells the
/// upstream to cancel the request.
#[derive(Debug)]
pub struct Exchange {
    connection: Connection,
    decoder: body::Decoder,
    head: head::Response,
    length: body::Length,
    unsent: Unsent,
    /// Whether the upstream may read the request late.
    late_reads: bool,
}

/// The part of a request that has not been written yet.
#[derive(Debug)]
struct Unsent {
    rest: Chain<Bytes, Bytes>,
    /// Why nothing more can be written. The upstream may have responded before it stopped reading.
    error: Option<io::Error>,
}

/// A connection that can be reused after an exchange.
#[derive(Debug)]
pub struct ReusableConnection {
    /// The connection, without buffered bytes.
    pub connection: Connection,
    /// How long the upstream keeps an idle connection open, if its `Keep-Alive` field states it.
    pub idle_timeout: Option<stated::Time>,
}

impl Exchange {
    /// Sends a request and waits for the head of its response.
    ///
    /// The response is read while the body is written, since an upstream may respond before it has
    /// read the whole body. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Returns why there is no response.
    pub async fn open(
        mut connection: Connection,
        request: &head::Request,
        body: Bytes,
    ) -> Result<Self, Error> {
        let mut out = BytesMut::with_capacity(1_024);
        request.write(&mut out);
        let late_reads = out.len() + body.len() > MAX_BUFFERED_REQUEST_BYTES;
        if late_reads {
            connection.allow_late_reads(true)?;
        }
        let mut unsent = Unsent {
            rest: out.freeze().chain(body),
            error: None,
        };
        let head = unsent.write_until_head(&mut connection).await?;
        let length = head.length(&request.method)?;
        Ok(Self {
            connection,
            decoder: body::Decoder::new(length),
            head,
            length,
            unsent,
            late_reads,
        })
    }

    /// Returns the head of the response.
    #[must_use]
    pub const fn head(&self) -> &head::Response {
        &self.head
    }

    /// Returns whether the body ends with the connection, so that its end looks the same if the upstream crashes.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.length == body::Length::UntilClose
    }

    /// Discards a response to another request, writes what is left of the request, and waits for the
    /// next response on the connection.
    ///
    /// # Errors
    ///
    /// Returns why there is no further response.
    pub async fn skip(mut self, request: &head::Request) -> Result<Self, Error> {
        let mut skipped = 0;
        while let Some(data) = self.data().await? {
            skipped += data.len();
            if skipped > MAX_SKIPPED_BYTES {
                return Err(Error::TooMuchSkipped);
            }
        }
        let Self {
            mut connection,
            mut unsent,
            late_reads,
            ..
        } = self;
        let head = unsent.write_until_head(&mut connection).await?;
        let length = head.length(&request.method)?;
        Ok(Self {
            connection,
            decoder: body::Decoder::new(length),
            head,
            length,
            unsent,
            late_reads,
        })
    }

    /// Waits for the next data of the body; `None` when the body is complete. The rest of the request is written
    /// meanwhile, since an upstream may need it to complete its response.
    ///
    /// Cancel safe: dropping the future loses no data.
    ///
    /// # Errors
    ///
    /// Returns why the body is incomplete.
    pub async fn data(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            if let Some(data) = self.decoder.take(&mut self.connection.buffer)? {
                return Ok(Some(data));
            }
            if self.decoder.is_done() {
                return Ok(None);
            }
            if self.unsent.write_until_read(&mut self.connection).await? == 0 {
                self.unsent.check_not_reset()?;
                self.decoder.close()?;
            }
        }
    }

    /// Returns the connection if another request may be sent on it.
    #[must_use]
    pub fn finish(self) -> Option<ReusableConnection> {
        let is_complete =
            self.decoder.is_done() && self.unsent.is_empty() && self.connection.buffer.is_empty();
        if !is_complete
            || !self.head.keeps_alive()
            || self.head.length(b"GET") == Ok(body::Length::UntilClose)
        {
            return None;
        }
        if self.late_reads {
            self.connection.allow_late_reads(false).ok()?;
        }
        Some(ReusableConnection {
            idle_timeout: keep_alive_timeout(&self.head.fields),
            connection: self.connection,
        })
    }
}

impl Unsent {
    fn is_empty(&self) -> bool {
        !self.rest.has_remaining()
    }

    /// Writes the rest of the request, and reads until the head of a final response has arrived.
    async fn write_until_head(
        &mut self,
        connection: &mut Connection,
    ) -> Result<head::Response, Error> {
        let mut interim = InterimCount::default();
        loop {
            if let Some(head) = head::Response::take(&mut connection.buffer, MAX_HEAD_BYTES)? {
                if interim.is_final(&head)? {
                    return Ok(head);
                }
                continue;
            }
            if self.write_until_read(connection).await? == 0 {
                return Err(self.error.take().map_or(Error::Closed, Error::Io));
            }
        }
    }

    /// Writes the rest of the request until bytes have been read, and returns how many; 0 if the upstream closed its
    /// side.
    ///
    /// Cancel safe: dropping the future loses no data.
    async fn write_until_read(&mut self, connection: &mut Connection) -> io::Result<usize> {
        loop {
            if !self.rest.has_remaining() || self.error.is_some() {
                return connection.fill().await;
            }
            connection.buffer.reserve(MIN_READ_BYTES);
            let (mut reader, mut writer) = connection.stream.split();
            tokio::select! {
                written = writer.write_buf(&mut self.rest) => {
                    // Keep reading: the upstream may have responded before it stopped reading.
                    self.error = written.err();
                }
                read = reader.read_buf(&mut connection.buffer) => return read,
            }
        }
    }

    /// Checks that the connection did not end with a reset, which the operating system reports to one call only: if a
    /// write failed because of it, the next read looks like a regular end. After a regular end, writes fail with
    /// `BrokenPipe`.
    fn check_not_reset(&mut self) -> io::Result<()> {
        let is_reset = |error: &mut io::Error| error.kind() != io::ErrorKind::BrokenPipe;
        self.error.take_if(is_reset).map_or(Ok(()), Err)
    }
}

/// Counts interim responses, which are discarded.
#[derive(Default)]
struct InterimCount(usize);

impl InterimCount {
    fn is_final(&mut self, head: &head::Response) -> Result<bool, Error> {
        if head.status == SWITCHING_PROTOCOLS {
            return Err(Error::Upgrade);
        }
        let is_final = !(100..200).contains(&head.status);
        self.0 += usize::from(!is_final);
        if self.0 > MAX_INTERIM_RESPONSES {
            return Err(Error::TooMuchSkipped);
        }
        Ok(is_final)
    }
}

fn keep_alive_timeout(fields: &Fields) -> Option<stated::Time> {
    let text = fields.text("keep-alive")?;
    let parts = text.split(',').map(str::trim);
    let seconds = parts
        .filter_map(|part| part.strip_prefix("timeout="))
        .next();
    Some(stated::Time::from_secs(seconds?.trim().parse().ok()?))
}
