//! Heads of requests and responses.

use bytes::{BufMut, Bytes, BytesMut};

use crate::{body::Length, field::Fields};

/// Most header fields of a message. Requests through the platform carry about 15.
const MAX_FIELDS: usize = 96;

/// Why a head cannot be used. The connection cannot be used further.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The bytes are not a head.
    #[error("malformed head: {0}")]
    Malformed(httparse::Error),
    /// The head is longer than allowed.
    #[error("the head exceeds {most} bytes")]
    Long {
        /// Allowed bytes.
        most: usize,
    },
    /// The length of the body is stated in a way that two readers could understand differently.
    #[error("the length of the body is ambiguous")]
    Ambiguous,
    /// The body has an encoding for the transfer other than `chunked`.
    #[error("the transfer encoding is not supported")]
    Encoding,
}

/// The head of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Method.
    pub method: Bytes,
    /// Target as it arrived: path and query.
    pub target: Bytes,
    /// Whether the version is 1.0.
    pub old: bool,
    /// Header fields.
    pub fields: Fields,
}

/// The head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Whether the version is 1.0.
    pub old: bool,
    /// Header fields.
    pub fields: Fields,
}

/// Returns the length of the head with its empty line, if the buffer holds all of it.
fn end(buffer: &[u8]) -> Option<usize> {
    let crlf = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    crlf.map(|at| at + 4)
}

fn take(buffer: &mut BytesMut, most: usize) -> Result<Option<Bytes>, Error> {
    match end(buffer) {
        Some(length) if length > most => Err(Error::Long { most }),
        Some(length) => Ok(Some(buffer.split_to(length).freeze())),
        None if buffer.len() > most => Err(Error::Long { most }),
        None => Ok(None),
    }
}

fn fields(bytes: &Bytes, headers: &[httparse::Header<'_>]) -> Fields {
    let mut fields = Fields::default();
    for header in headers {
        let name = bytes.slice_ref(header.name.as_bytes());
        fields.push(name, bytes.slice_ref(header.value.trim_ascii()));
    }
    fields
}

fn content_length(fields: &Fields) -> Result<Option<u64>, Error> {
    let mut length = None;
    for value in fields.all("content-length") {
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).ok().filter(|_| digits);
        let number = text.and_then(|text| text.parse().ok());
        let number: u64 = number.ok_or(Error::Ambiguous)?;
        if length.is_some_and(|length| length != number) {
            return Err(Error::Ambiguous);
        }
        length = Some(number);
    }
    Ok(length)
}

fn is_chunked(fields: &Fields) -> Result<bool, Error> {
    let mut codings = fields.all("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(Error::Encoding),
    }
}

impl Request {
    /// Takes the head of a request from the front of a buffer, once all of it is there.
    ///
    /// # Errors
    ///
    /// Returns why the bytes cannot be used as a head of at most `most` bytes.
    ///
    /// ```
    /// let mut buffer = bytes::BytesMut::from(&b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nrest"[..]);
    /// let head = tsw_http::head::Request::take(&mut buffer, 1_024)?.expect("a whole head");
    /// assert_eq!((&head.target[..], &buffer[..]), (&b"/a"[..], &b"rest"[..]));
    /// # Ok::<(), tsw_http::head::Error>(())
    /// ```
    pub fn take(buffer: &mut BytesMut, most: usize) -> Result<Option<Self>, Error> {
        // Empty lines before a request are allowed; some clients send one after a body.
        while buffer.starts_with(b"\r\n") {
            let _ = buffer.split_to(2);
        }
        let Some(bytes) = take(buffer, most)? else {
            return Ok(None);
        };
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut headers);
        request.parse(&bytes).map_err(Error::Malformed)?;
        Ok(Some(Self {
            method: bytes.slice_ref(request.method.unwrap_or_default().as_bytes()),
            target: bytes.slice_ref(request.path.unwrap_or_default().as_bytes()),
            old: request.version == Some(0),
            fields: fields(&bytes, request.headers),
        }))
    }

    /// Returns how long the body is.
    ///
    /// # Errors
    ///
    /// Returns an error if two lengths are stated, so that no second request can hide in a body.
    pub fn length(&self) -> Result<Length, Error> {
        match (
            is_chunked(&self.fields)?,
            content_length(&self.fields)?,
            self.old,
        ) {
            (true, Some(_), _) | (true, _, true) => Err(Error::Ambiguous),
            (true, None, false) => Ok(Length::Chunked),
            (false, length, _) => Ok(Length::Exact(length.unwrap_or(0))),
        }
    }

    /// Returns whether the connection may be used after this request.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(self.old, &self.fields)
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &[u8] {
        let end = self.target.iter().position(|byte| *byte == b'?');
        &self.target[..end.unwrap_or(self.target.len())]
    }

    /// Writes the head. The fields must state the length of the body.
    pub fn write(&self, out: &mut BytesMut) {
        out.put_slice(&self.method);
        out.put_slice(b" ");
        out.put_slice(&self.target);
        out.put_slice(b" HTTP/1.1\r\n");
        self.fields.write(out);
        out.put_slice(b"\r\n");
    }
}

impl Response {
    /// Takes the head of a response from the front of a buffer, once all of it is there.
    ///
    /// # Errors
    ///
    /// Returns why the bytes cannot be used as a head of at most `most` bytes.
    pub fn take(buffer: &mut BytesMut, most: usize) -> Result<Option<Self>, Error> {
        let Some(bytes) = take(buffer, most)? else {
            return Ok(None);
        };
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut headers);
        response.parse(&bytes).map_err(Error::Malformed)?;
        Ok(Some(Self {
            status: response.code.unwrap_or_default(),
            old: response.version == Some(0),
            fields: fields(&bytes, response.headers),
        }))
    }

    /// Returns how long the body is.
    ///
    /// # Errors
    ///
    /// Returns an error if two lengths are stated.
    pub fn length(&self, method: &[u8]) -> Result<Length, Error> {
        if method == b"HEAD" || matches!(self.status, 100..=199 | 204 | 304) {
            return Ok(Length::Exact(0));
        }
        match (is_chunked(&self.fields)?, content_length(&self.fields)?) {
            (true, Some(_)) => Err(Error::Ambiguous),
            (true, None) => Ok(Length::Chunked),
            (false, Some(length)) => Ok(Length::Exact(length)),
            (false, None) => Ok(Length::UntilClose),
        }
    }

    /// Returns whether the connection may be used after this response.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(self.old, &self.fields)
    }

    /// Writes the head. The fields must state the length of the body.
    pub fn write(&self, out: &mut BytesMut) {
        let line = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        out.put_slice(line.as_bytes());
        self.fields.write(out);
        out.put_slice(b"\r\n");
    }
}

fn keeps_alive(old: bool, fields: &Fields) -> bool {
    if old {
        fields.lists("connection", "keep-alive")
    } else {
        !fields.lists("connection", "close")
    }
}

/// Returns the usual phrase of a status code.
#[must_use]
pub const fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}
