//! The request that is forwarded to a worker of a plain service.

use std::sync::Arc;

use actix_http::Method;
use bytes::Bytes;
use tsw_base::name;

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path relative to the service, with the query.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// Idempotency key.
    pub key: Option<Arc<str>>,
    /// The team that sent the request.
    pub team: name::Team,
    /// Request body.
    pub body: Bytes,
}
