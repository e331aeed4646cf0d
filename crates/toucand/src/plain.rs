//! A single attempt to run a request on a worker of a plain service.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix_http::{
    header::{HeaderName, HeaderValue, CONTENT_TYPE, HOST},
    Method, RequestHead, ResponseHead,
};
use actix_rt::time;
use bytes::Bytes;
use tsw_base::time::Timestamp;
use tsw_once::{End, Response};

use crate::{exchange, forward::Request, router::Router, slot::Slot};

/// Timeout for opening a connection to a worker.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 1_000_000;

/// Why an attempt gave no complete response.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// No byte of the request reached the upstream.
    #[error("not sent: {0}")]
    Unreachable(exchange::Error),
    /// The connection failed after the request may have been sent.
    #[error("the connection broke: {0}")]
    Broken(exchange::Error),
    /// The response did not arrive before the deadline.
    #[error("no response before the deadline")]
    Deadline,
}

/// Sends a request to the worker of a slot and reads the complete response.
///
/// # Errors
///
/// Returns why there is no complete response. Only [`AttemptError::Unreachable`] guarantees that
/// the request did not reach the worker.
pub async fn send(
    router: &Rc<Router>,
    mut slot: Slot,
    request: &Request,
    deadline: Timestamp,
) -> Result<Response, AttemptError> {
    let head = request_head(slot.address(), request);
    slot.start();
    let time_left = || deadline.since(router.now()).as_duration();
    let limit = time_left().min(CONNECT_TIMEOUT);
    let connection = match exchange::Connection::open(slot.address(), limit).await {
        Ok(connection) => connection,
        Err(error) => {
            slot.unreachable();
            return Err(AttemptError::Unreachable(error));
        }
    };
    let exchange = connection.run(head, request.body.clone(), MAX_RESPONSE_BYTES);
    match time::timeout(time_left(), exchange).await {
        Ok(Ok((head, body))) => {
            slot.finish(None);
            Ok(response(&head, &body))
        }
        Ok(Err(error)) => Err(AttemptError::Broken(error)),
        Err(_) => Err(AttemptError::Deadline),
    }
}

fn request_head(address: SocketAddr, request: &Request) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = request.method.clone();
    head.uri = request.path.parse().unwrap_or_default();
    let host = address.to_string();
    let mut headers = vec![
        (HOST, host.as_str()),
        (
            HeaderName::from_static("toucan-request-id"),
            &*request.request_id,
        ),
        (
            HeaderName::from_static("toucan-team"),
            request.team.as_str(),
        ),
    ];
    if request.method != Method::GET {
        headers.push((CONTENT_TYPE, &*request.content_type));
    }
    if let Some(key) = &request.key {
        headers.push((HeaderName::from_static("toucan-key"), key));
    }
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            head.headers.insert(name, value);
        }
    }
    head
}

fn response(head: &ResponseHead, body: &Bytes) -> Response {
    let content_type = head.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Response {
        end: End::Complete,
        status: head.status.as_u16(),
        code: Arc::from(""),
        content_type: Arc::from(content_type.unwrap_or_default()),
        body: Arc::from(&body[..]),
    }
}
