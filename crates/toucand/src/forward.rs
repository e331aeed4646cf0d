//! What a worker of a plain service is sent.

use std::sync::Arc;

use actix_http::Method;
use bytes::Bytes;
use tsw_base::name;

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
