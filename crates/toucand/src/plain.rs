//! One attempt to get a response from a worker of a plain service.

use std::{rc::Rc, sync::Arc};

use actix_http::{header::CONTENT_TYPE, Method};
use actix_rt::time;
use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use tsw_base::{name, time::Tick};
use tsw_once::{End, Response};

use crate::{router::Router, slot::Slot};

/// Longest body of a response.
const MAX_RESPONSE_BYTES: usize = 1_000_000;

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path below the service's base, with the query.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// Idempotency key.
    pub key: Option<Arc<str>>,
    /// The team.
    pub team: name::Team,
    /// Body.
    pub body: Bytes,
}

/// Why an attempt gave no complete response.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// No connection could be made: no byte reached the upstream.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The connection broke after the request may have been sent.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// The response did not arrive before the deadline.
    #[error("no response before the deadline")]
    Deadline,
}

/// Returns whether an error shows that no byte of the request was sent. The client also reports a
/// connection that closed after the request was written as a connect error.
#[must_use]
pub const fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(error) => {
            !matches!(error, ConnectError::Disconnected | ConnectError::H2(_))
        }
        _ => false,
    }
}

/// Sends a request to the worker of a slot and reads the whole response.
///
/// # Errors
///
/// Returns why there is no complete response, and whether the request can have reached the worker.
pub async fn send(
    router: &Rc<Router>,
    mut slot: Slot,
    request: &Request,
    deadline: Tick,
) -> Result<Response, Fault> {
    let url = format!("http://{}{}", slot.address(), request.path);
    // A kept connection may have been closed by the worker, and a request that is written to it may
    // or may not have arrived. A call that may run only once gets a connection of its own.
    let client = match request.key {
        Some(_) => &router.fresh_client,
        None => &router.client,
    };
    let mut builder = client
        .request(request.method.clone(), url)
        .insert_header(("toucan-request-id", &*request.request_id))
        .insert_header(("toucan-team", request.team.as_str()));
    if request.method != Method::GET {
        builder = builder.insert_header((CONTENT_TYPE, &*request.content_type));
    }
    if let Some(key) = &request.key {
        builder = builder.insert_header(("toucan-key", &**key));
    }
    slot.start();
    let left = deadline.since(router.now()).as_duration();
    let exchange = async {
        let mut response = builder.send_body(request.body.clone()).await?;
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map_or_else(|| Arc::from(""), Arc::from);
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        Ok::<_, SendRequestError>(body.map(|body| Response {
            end: End::Complete,
            status,
            code: Arc::from(""),
            content_type,
            body: Arc::from(&body[..]),
        }))
    };
    match time::timeout(left, exchange).await {
        Ok(Ok(Ok(response))) => {
            slot.finish(None);
            Ok(response)
        }
        Ok(Ok(Err(error))) => Err(Fault::Broken(error.to_string())),
        Ok(Err(error)) if is_unsent(&error) => {
            slot.unreachable();
            Err(Fault::Unreachable(error.to_string()))
        }
        Ok(Err(error)) => Err(Fault::Broken(error.to_string())),
        Err(_) => Err(Fault::Deadline),
    }
}
