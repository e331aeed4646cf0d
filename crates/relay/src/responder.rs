//! Writes the response to the client.

use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use tokio::{io::AsyncWriteExt, net::tcp::WriteHalf};
use tsw_http::{
    field::Fields,
    head::{self, Response},
};

/// How much of the response was written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Nothing.
    NotStarted,
    /// The head was written or buffered; the body is incomplete.
    Started,
    /// The whole response.
    Complete,
}

/// Writes one response to a client.
#[derive(Debug)]
pub struct Responder<'a> {
    writer: WriteHalf<'a>,
    progress: Progress,
    /// The client uses HTTP/1.0, in which a body of unknown length ends when the connection is
    /// closed.
    http10: bool,
    close: bool,
    close_if_not_run: bool,
    buffer: BytesMut,
}

impl<'a> Responder<'a> {
    /// Creates the responder of a request. `close` closes the connection after the response.
    #[must_use]
    pub fn new(writer: WriteHalf<'a>, request: &head::Request, close: bool) -> Self {
        Self {
            writer,
            progress: Progress::NotStarted,
            http10: request.http10,
            close: close || !request.keeps_alive(),
            close_if_not_run: false,
            buffer: BytesMut::new(),
        }
    }

    /// Closes the connection after the response.
    pub fn close_after_response(&mut self) {
        self.close = true;
    }

    /// Closes the connection after the response if that states that the request has not run.
    pub fn close_if_not_run(&mut self) {
        self.close_if_not_run = true;
    }

    /// Records that the response states that the request has not run.
    pub fn mark_not_run(&mut self) {
        self.close |= self.close_if_not_run;
    }

    /// Returns how much of the response was written.
    #[must_use]
    pub const fn progress(&self) -> Progress {
        self.progress
    }

    /// Returns whether the connection may be reused after the response.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.progress == Progress::Complete && !self.close
    }

    fn write_head(&mut self, status: u16, mut fields: Fields) {
        if self.close {
            fields.push("Connection", "close");
        }
        let http10 = false;
        Response {
            status,
            http10,
            fields,
        }
        .write(&mut self.buffer);
    }

    async fn flush(&mut self) -> io::Result<()> {
        let buffered = self.buffer.split();
        self.writer.write_all(&buffered).await
    }

    /// Writes a response with its whole body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection to the client broke.
    pub async fn respond(
        &mut self,
        status: u16,
        mut fields: Fields,
        body: &[u8],
    ) -> io::Result<()> {
        fields.push("Content-Length", body.len().to_string());
        self.write_head(status, fields);
        self.buffer.put_slice(body);
        self.flush().await?;
        self.progress = Progress::Complete;
        Ok(())
    }

    /// Starts a response whose body follows. The head is sent with the first data.
    pub fn start(&mut self, status: u16, mut fields: Fields) {
        if self.http10 {
            self.close = true;
        } else {
            fields.push("Transfer-Encoding", "chunked");
        }
        self.write_head(status, fields);
        self.progress = Progress::Started;
    }

    /// Writes a part of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection to the client broke.
    pub async fn write_data(&mut self, data: &[Bytes]) -> io::Result<()> {
        let length: usize = data.iter().map(Bytes::len).sum();
        if length > 0 && !self.http10 {
            self.buffer.put_slice(format!("{length:x}\r\n").as_bytes());
        }
        for bytes in data {
            self.buffer.put_slice(bytes);
        }
        if length > 0 && !self.http10 {
            self.buffer.put_slice(b"\r\n");
        }
        self.flush().await
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection to the client broke.
    pub async fn finish(&mut self) -> io::Result<()> {
        if !self.http10 {
            self.buffer.put_slice(b"0\r\n\r\n");
        }
        self.flush().await?;
        self.progress = Progress::Complete;
        Ok(())
    }
}
