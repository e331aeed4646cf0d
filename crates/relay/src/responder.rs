//! Writes the answer to the client.

use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use tokio::{io::AsyncWriteExt, net::tcp::WriteHalf};
use tsw_http::{
    field::Fields,
    head::{self, Response},
};

/// What was written of the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Nothing.
    Unsent,
    /// The head and a part of the body.
    Begun,
    /// All of it.
    Whole,
}

/// Writes one answer to a client.
#[derive(Debug)]
pub struct Responder<'a> {
    writer: WriteHalf<'a>,
    progress: Progress,
    /// The client reads only HTTP/1.0, in which the end of a body of unknown length is the end
    /// of the connection.
    old: bool,
    close: bool,
    close_if_refused: bool,
    out: BytesMut,
}

impl<'a> Responder<'a> {
    /// Makes the responder of a request. `close` says that the connection ends with the answer.
    #[must_use]
    pub fn new(writer: WriteHalf<'a>, request: &head::Request, close: bool) -> Self {
        Self {
            writer,
            progress: Progress::Unsent,
            old: request.old,
            close: close || !request.keeps_alive(),
            close_if_refused: false,
            out: BytesMut::new(),
        }
    }

    /// Closes the connection after the answer.
    pub fn close(&mut self) {
        self.close = true;
    }

    /// Closes the connection after the answer if that says that the request has not run.
    pub fn close_if_refused(&mut self) {
        self.close_if_refused = true;
    }

    /// Notes that the answer says that the request has not run.
    pub fn refuse(&mut self) {
        self.close |= self.close_if_refused;
    }

    /// Returns what was written.
    #[must_use]
    pub const fn progress(&self) -> Progress {
        self.progress
    }

    /// Returns whether the connection may be used after the answer.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.progress == Progress::Whole && !self.close
    }

    fn head(&mut self, status: u16, mut fields: Fields) {
        if self.close {
            fields.push("Connection", "close");
        }
        let old = false;
        Response {
            status,
            old,
            fields,
        }
        .write(&mut self.out);
    }

    async fn flush(&mut self) -> io::Result<()> {
        let out = self.out.split();
        self.writer.write_all(&out).await
    }

    /// Writes an answer with its whole body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection to the client broke.
    pub async fn whole(&mut self, status: u16, mut fields: Fields, body: &[u8]) -> io::Result<()> {
        fields.push("Content-Length", body.len().to_string());
        self.head(status, fields);
        self.out.put_slice(body);
        self.flush().await?;
        self.progress = Progress::Whole;
        Ok(())
    }

    /// Starts an answer whose body follows. The head is written with the first data.
    pub fn begin(&mut self, status: u16, mut fields: Fields) {
        if self.old {
            self.close = true;
        } else {
            fields.push("Transfer-Encoding", "chunked");
        }
        self.head(status, fields);
        self.progress = Progress::Begun;
    }

    /// Writes data of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection to the client broke.
    pub async fn data(&mut self, data: &[Bytes]) -> io::Result<()> {
        let length: usize = data.iter().map(Bytes::len).sum();
        if length > 0 && !self.old {
            self.out.put_slice(format!("{length:x}\r\n").as_bytes());
        }
        for bytes in data {
            self.out.put_slice(bytes);
        }
        if length > 0 && !self.old {
            self.out.put_slice(b"\r\n");
        }
        self.flush().await
    }

    /// Writes the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection to the client broke.
    pub async fn end(&mut self) -> io::Result<()> {
        if !self.old {
            self.out.put_slice(b"0\r\n\r\n");
        }
        self.flush().await?;
        self.progress = Progress::Whole;
        Ok(())
    }
}
