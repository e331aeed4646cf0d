//! Request and response heads.

use std::ops::RangeInclusive;

use bytes::{BufMut, Bytes, BytesMut};
use httparse::Status;

use crate::{body::Length, field::Fields};

/// Maximum number of header fields of a message. Requests through the platform have about 15. It limits
/// the memory of fields that are far shorter than usual.
const MAX_FIELDS: usize = 1_024;
/// Valid status codes. Recipients treat a code from 600 on like a server error.
const STATUS_CODES: RangeInclusive<u16> = 100..=999;

/// Why a head is rejected. The connection cannot be used further.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The head is malformed.
    #[error("malformed head: {0}")]
    Malformed(httparse::Error),
    /// The empty line that ends the head comes before its first line, or within it in the eyes of
    /// another recipient.
    #[error("the head is incomplete")]
    Incomplete,
    /// The status code of a response is none.
    #[error("status code {0} is invalid")]
    InvalidStatus(u16),
    /// There are more header fields than allowed.
    #[error("the head has more than {max} fields")]
    TooManyFields {
        /// Maximum number of fields.
        max: usize,
    },
    /// The head is longer than allowed.
    #[error("the head exceeds {max} bytes")]
    TooLong {
        /// Maximum length in bytes.
        max: usize,
    },
    /// A length is malformed or ambiguous: two recipients could interpret it differently, which
    /// allows request smuggling.
    #[error("the length of the body is ambiguous")]
    AmbiguousLength,
    /// The body has a transfer coding other than `chunked`.
    #[error("the transfer encoding is not supported")]
    UnsupportedTransferEncoding,
}

/// The head of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Method.
    pub method: Bytes,
    /// Target as it arrived: path and query.
    pub target: Bytes,
    /// Whether the version is HTTP/1.0.
    pub http10: bool,
    /// Header fields.
    pub fields: Fields,
}

/// The head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Whether the version is HTTP/1.0.
    pub http10: bool,
    /// Header fields.
    pub fields: Fields,
}

/// Returns the length of the head including its empty line, if the buffer holds all of it.
fn head_end(buffer: &[u8]) -> Option<usize> {
    let crlf = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    crlf.map(|at| at + 4)
}

fn take_head(buffer: &mut BytesMut, max: usize) -> Result<Option<Bytes>, Error> {
    match head_end(buffer) {
        Some(length) if length > max => Err(Error::TooLong { max }),
        Some(length) => Ok(Some(buffer.split_to(length).freeze())),
        None if buffer.len() > max => Err(Error::TooLong { max }),
        None => Ok(None),
    }
}

/// Returns space for the fields of a head: it has at most one on each line.
fn space_for_fields(head: &[u8]) -> Result<Vec<httparse::Header<'_>>, Error> {
    let lines = head.iter().filter(|byte| **byte == b'\n').count();
    if lines > MAX_FIELDS {
        return Err(Error::TooManyFields { max: MAX_FIELDS });
    }
    Ok(vec![httparse::EMPTY_HEADER; lines])
}

/// Checks that a parser found a head that is as long as the given bytes.
fn check_whole(parsed: httparse::Result<usize>, bytes: &Bytes) -> Result<(), Error> {
    match parsed.map_err(Error::Malformed)? {
        Status::Complete(length) if length == bytes.len() => Ok(()),
        Status::Complete(_) | Status::Partial => Err(Error::Incomplete),
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
    for value in fields.get_all("content-length") {
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).ok().filter(|_| digits);
        let number = text.and_then(|text| text.parse().ok());
        let number: u64 = number.ok_or(Error::AmbiguousLength)?;
        if length.is_some_and(|length| length != number) {
            return Err(Error::AmbiguousLength);
        }
        length = Some(number);
    }
    Ok(length)
}

fn is_chunked(fields: &Fields) -> Result<bool, Error> {
    let mut codings = fields.get_all("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(Error::UnsupportedTransferEncoding),
    }
}

impl Request {
    /// Takes the head of a request from the front of a buffer; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed or exceeds `max` bytes.
    ///
    /// ```
    /// let mut buffer = bytes::BytesMut::from(&b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nrest"[..]);
    /// let head = tsw_http::head::Request::take(&mut buffer, 1_024)?.expect("a complete head");
    /// assert_eq!((&head.target[..], &buffer[..]), (&b"/a"[..], &b"rest"[..]));
    /// # Ok::<(), tsw_http::head::Error>(())
    /// ```
    pub fn take(buffer: &mut BytesMut, max: usize) -> Result<Option<Self>, Error> {
        // Empty lines before a request are ignored; some clients send one after a body.
        while buffer.starts_with(b"\r\n") {
            let _ = buffer.split_to(2);
        }
        let Some(bytes) = take_head(buffer, max)? else {
            return Ok(None);
        };
        let mut headers = space_for_fields(&bytes)?;
        let mut request = httparse::Request::new(&mut headers);
        check_whole(request.parse(&bytes), &bytes)?;
        Ok(Some(Self {
            method: bytes.slice_ref(request.method.unwrap_or_default().as_bytes()),
            target: bytes.slice_ref(request.path.unwrap_or_default().as_bytes()),
            http10: request.version == Some(0),
            fields: fields(&bytes, request.headers),
        }))
    }

    /// Returns how the end of the body is determined.
    ///
    /// # Errors
    ///
    /// Returns an error if two lengths are stated, so that no second request can be smuggled in a
    /// body, or if the transfer coding is not supported.
    pub fn length(&self) -> Result<Length, Error> {
        match (
            is_chunked(&self.fields)?,
            content_length(&self.fields)?,
            self.http10,
        ) {
            (true, Some(_), _) | (true, _, true) => Err(Error::AmbiguousLength),
            (true, None, false) => Ok(Length::Chunked),
            (false, length, _) => Ok(Length::Exact(length.unwrap_or(0))),
        }
    }

    /// Returns whether the connection may be reused after this request.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(self.http10, &self.fields)
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
    /// Takes the head of a response from the front of a buffer; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed or exceeds `max` bytes, or if the status code is invalid.
    pub fn take(buffer: &mut BytesMut, max: usize) -> Result<Option<Self>, Error> {
        let Some(bytes) = take_head(buffer, max)? else {
            return Ok(None);
        };
        // The parser skips empty lines, which only a request may have before it.
        if bytes.starts_with(b"\r") || bytes.starts_with(b"\n") {
            return Err(Error::Incomplete);
        }
        let mut headers = space_for_fields(&bytes)?;
        let mut response = httparse::Response::new(&mut headers);
        check_whole(response.parse(&bytes), &bytes)?;
        let status = response.code.unwrap_or_default();
        if !STATUS_CODES.contains(&status) {
            return Err(Error::InvalidStatus(status));
        }
        Ok(Some(Self {
            status,
            http10: response.version == Some(0),
            fields: fields(&bytes, response.headers),
        }))
    }

    /// Returns how the end of the body of the response to a request with `method` is determined.
    ///
    /// # Errors
    ///
    /// Returns an error if two lengths are stated or the transfer coding is not supported.
    pub fn length(&self, method: &[u8]) -> Result<Length, Error> {
        if method == b"HEAD" || matches!(self.status, 100..=199 | 204 | 304) {
            return Ok(Length::Exact(0));
        }
        match (is_chunked(&self.fields)?, content_length(&self.fields)?) {
            (true, Some(_)) => Err(Error::AmbiguousLength),
            (true, None) => Ok(Length::Chunked),
            (false, Some(length)) => Ok(Length::Exact(length)),
            (false, None) => Ok(Length::UntilClose),
        }
    }

    /// Returns whether the connection may be reused after this response.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(self.http10, &self.fields)
    }

    /// Writes the head. The fields must state the length of the body.
    pub fn write(&self, out: &mut BytesMut) {
        let line = format!(
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        );
        out.put_slice(line.as_bytes());
        self.fields.write(out);
        out.put_slice(b"\r\n");
    }
}

fn keeps_alive(http10: bool, fields: &Fields) -> bool {
    if http10 {
        fields.contains_token("connection", "keep-alive")
    } else {
        !fields.contains_token("connection", "close")
    }
}

/// Returns the reason phrase of a status code.
#[must_use]
pub const fn reason_phrase(status: u16) -> &'static str {
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
