//! One HTTP/1.1 request and response on a connection of its own.
//!
//! The pooled client reports a truncated body as complete, and cannot always tell whether a request
//! was sent. Both matter for plain services: a response is passed on only if it is complete, and a
//! non-idempotent call must not be reported as not run once it was sent. This module therefore
//! detects both on its own connection. A body without a length or chunks ends with its connection, and so
//! would the part of it that a worker sent before it crashed: it is never taken as complete.

use std::{io, net::SocketAddr, time::Duration};

use actix_codec::Framed;
use actix_http::{
    body::BodySize,
    error::{ParseError, PayloadError},
    h1::{ClientCodec, Message, MessageType},
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    RequestHead, RequestHeadType, ResponseHead, StatusCode,
};
use actix_rt::time;
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;

/// Maximum number of interim responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Why an exchange gave no complete response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened; no byte was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The request could not be written in full.
    #[error("cannot send the request: {0}")]
    Send(io::Error),
    /// The head of the response is malformed.
    #[error("cannot read the head of the response: {0}")]
    Head(ParseError),
    /// The server changed to another protocol, or sent too many interim responses.
    #[error("status {0} in place of a final response")]
    NotFinal(StatusCode),
    /// The body of the response ends with the connection, so that it may be incomplete.
    #[error("the response states no length of its body")]
    NoLength,
    /// The body of the response is malformed.
    #[error("cannot read the body of the response: {0}")]
    Body(PayloadError),
    /// The connection ended before the response did.
    #[error("the response ends after {bytes} bytes of its body")]
    Truncated {
        /// Bytes of the body that were received.
        bytes: usize,
    },
    /// The body of the response is larger than allowed.
    #[error("the body of the response has more than {limit} bytes")]
    Large {
        /// Maximum size in bytes.
        limit: usize,
    },
}

/// An open connection on which nothing has been sent yet.
#[derive(Debug)]
pub struct Connection(TcpStream);

impl Connection {
    /// Opens a connection within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`]; no byte of a request was sent.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, Error> {
        let stream = time::timeout(limit, TcpStream::connect(address)).await;
        let stream = stream.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        stream.map(Self).map_err(Error::Connect)
    }

    /// Sends a request and reads the complete response, whose body may have up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete response. The server may have received the request.
    pub async fn run(
        self,
        head: RequestHead,
        body: Bytes,
        limit: usize,
    ) -> Result<(ResponseHead, Bytes), Error> {
        let mut framed = Framed::new(self.0, ClientCodec::default());
        send(&mut framed, head, body).await.map_err(Error::Send)?;
        let head = final_head(&mut framed).await?;
        if !marks_end(&head) {
            return Err(Error::NoLength);
        }
        if framed.codec_ref().message_type() == MessageType::None {
            return Ok((head, Bytes::new()));
        }
        let mut chunks = framed.into_map_codec(ClientCodec::into_payload_codec);
        let mut body = BytesMut::new();
        loop {
            match chunks.next().await {
                Some(Ok(Some(chunk))) if body.len() + chunk.len() > limit => {
                    return Err(Error::Large { limit })
                }
                Some(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
                Some(Ok(None)) => return Ok((head, body.freeze())),
                Some(Err(error)) => return Err(Error::Body(error)),
                None => return Err(Error::Truncated { bytes: body.len() }),
            }
        }
    }
}

/// Returns whether a response has no body or marks the end of it. The codec takes a body without a length as
/// empty.
fn marks_end(head: &ResponseHead) -> bool {
    let codings = head.headers.get_all(TRANSFER_ENCODING);
    let last = codings.last().and_then(|value| value.to_str().ok());
    let last = last.and_then(|codings| codings.rsplit(',').next());
    let is_chunked = last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
    let has_no_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    has_no_body || is_chunked || head.headers.contains_key(CONTENT_LENGTH)
}

/// Reads heads until that of the final response.
async fn final_head(framed: &mut Framed<TcpStream, ClientCodec>) -> Result<ResponseHead, Error> {
    let mut interim = 0;
    loop {
        let head = match framed.next().await {
            Some(Ok(head)) => head,
            Some(Err(error)) => return Err(Error::Head(error)),
            None => return Err(Error::Truncated { bytes: 0 }),
        };
        if !head.status.is_informational() {
            return Ok(head);
        }
        interim += 1;
        if head.status == StatusCode::SWITCHING_PROTOCOLS || interim > MAX_INTERIM_RESPONSES {
            return Err(Error::NotFinal(head.status));
        }
    }
}

async fn send(
    framed: &mut Framed<TcpStream, ClientCodec>,
    head: RequestHead,
    body: Bytes,
) -> Result<(), io::Error> {
    let size = BodySize::Sized(body.len() as u64);
    let head = RequestHeadType::Owned(head);
    framed.feed(Message::Item((head, size))).await?;
    if !body.is_empty() {
        framed.feed(Message::Chunk(Some(body))).await?;
    }
    framed.feed(Message::Chunk(None)).await?;
    framed.flush().await
}
