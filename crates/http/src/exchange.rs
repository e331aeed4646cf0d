//! One request and its response on a connection to an upstream.

use std::{io, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::{body, connection::Connection, field::Fields, head};

/// Most bytes in the head of a response.
const MAX_HEAD: usize = 32_768;
/// Most interim responses before a response. One says that a body may be sent; more are no use.
const MAX_INTERIM: usize = 8;
/// Most bytes of the body of a response that is skipped. A second copy of an answer has some
/// kilobytes.
const MAX_SKIPPED: usize = 1 << 20;
/// Bytes of room kept free in a read buffer.
const READ_BYTES: usize = 4_096;

/// Why there is no complete response. The request may have been read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection broke or was reset.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// The connection ended before the head of the response.
    #[error("the connection ended without a response")]
    Closed,
    /// An upstream sent more interim responses, or more of a response to another request, than any
    /// that works.
    #[error("the upstream sends bytes that are no answer, without end")]
    Endless,
    /// The head of the response is malformed.
    #[error(transparent)]
    Head(#[from] head::Error),
    /// The body of the response is malformed or truncated.
    #[error(transparent)]
    Body(#[from] body::Error),
}

/// An exchange whose response has begun. Dropping it closes the connection, which tells the
/// upstream to stop.
#[derive(Debug)]
pub struct Exchange {
    connection: Connection,
    decoder: body::Decoder,
    head: head::Response,
    whole: bool,
}

/// What is left of a connection after an exchange.
#[derive(Debug)]
pub struct Reusable {
    /// The connection; nothing is unread on it.
    pub connection: Connection,
    /// How long the upstream keeps it open when idle, if it said so.
    pub idle: Option<Duration>,
}

impl Exchange {
    /// Sends a request and waits for the head of its response.
    ///
    /// The response is read while the body is written, since an upstream may answer before it
    /// has read all of a body. Dropping the future closes the connection.
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
        let mut rest = out.freeze().chain(body);
        let mut refused = None;
        let mut interim = Interim::default();
        let head = loop {
            if let Some(head) = head::Response::take(&mut connection.buffer, MAX_HEAD)? {
                if interim.is_final(&head)? {
                    break head;
                }
                continue;
            }
            connection.buffer.reserve(READ_BYTES);
            let (mut reader, mut writer) = connection.stream.split();
            tokio::select! {
                written = writer.write_buf(&mut rest), if rest.has_remaining() && refused.is_none() => {
                    // A response may have arrived before the upstream stopped reading.
                    refused = written.err();
                }
                read = reader.read_buf(&mut connection.buffer) => {
                    if read? == 0 {
                        return Err(refused.map_or(Error::Closed, Error::Io));
                    }
                }
            }
        };
        let decoder = body::Decoder::new(head.length(&request.method)?);
        Ok(Self {
            connection,
            decoder,
            head,
            whole: !rest.has_remaining(),
        })
    }

    /// Returns the head of the response.
    #[must_use]
    pub const fn head(&self) -> &head::Response {
        &self.head
    }

    /// Drops a response that answers another request and waits for the next one on the connection.
    ///
    /// # Errors
    ///
    /// Returns why there is no further response.
    pub async fn skip(mut self, request: &head::Request) -> Result<Self, Error> {
        let mut skipped = 0;
        while let Some(data) = self.data().await? {
            skipped += data.len();
            if skipped > MAX_SKIPPED {
                return Err(Error::Endless);
            }
        }
        let mut connection = self.connection;
        let mut interim = Interim::default();
        loop {
            match head::Response::take(&mut connection.buffer, MAX_HEAD)? {
                Some(head) if interim.is_final(&head)? => {
                    let decoder = body::Decoder::new(head.length(&request.method)?);
                    return Ok(Self {
                        connection,
                        decoder,
                        head,
                        whole: self.whole,
                    });
                }
                Some(_) => {}
                None if connection.fill().await? == 0 => return Err(Error::Closed),
                None => {}
            }
        }
    }

    /// Waits for the next data of the body; `None` at its complete end.
    ///
    /// Dropping the future loses nothing.
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
            if self.connection.fill().await? == 0 {
                self.decoder.close()?;
            }
        }
    }

    /// Returns the connection if another request may be sent on it.
    #[must_use]
    pub fn finish(self) -> Option<Reusable> {
        let clean = self.decoder.is_done() && self.whole && self.connection.buffer.is_empty();
        if !clean
            || !self.head.keeps_alive()
            || self.head.length(b"GET") == Ok(body::Length::UntilClose)
        {
            return None;
        }
        Some(Reusable {
            idle: keep_alive(&self.head.fields),
            connection: self.connection,
        })
    }
}

/// Counts interim responses, which announce nothing that a router passes on.
#[derive(Default)]
struct Interim(usize);

impl Interim {
    fn is_final(&mut self, head: &head::Response) -> Result<bool, Error> {
        let is_final = !(100..200).contains(&head.status);
        self.0 += usize::from(!is_final);
        if self.0 > MAX_INTERIM {
            return Err(Error::Endless);
        }
        Ok(is_final)
    }
}

fn keep_alive(fields: &Fields) -> Option<Duration> {
    let text = fields.text("keep-alive")?;
    let parts = text.split(',').map(str::trim);
    let seconds = parts
        .filter_map(|part| part.strip_prefix("timeout="))
        .next();
    Some(Duration::from_secs(seconds?.trim().parse().ok()?))
}
