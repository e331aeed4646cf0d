//! HTTP responses to callers.

use actix_http::{
    body::{BoxBody, MessageBody},
    header::{self, HeaderName, HeaderValue},
    Response, StatusCode,
};
use serde::Serialize;

use crate::refusal;

/// An HTTP response with any body.
pub type Reply = Response<BoxBody>;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The response is complete.
    Complete,
    /// The request was never run.
    NotRun,
    /// The response of an idempotent request is incomplete.
    Cut,
    /// A non-idempotent request may have run.
    Unknown,
}

impl Outcome {
    /// All outcomes.
    pub const ALL: [Self; 4] = [Self::Complete, Self::NotRun, Self::Cut, Self::Unknown];

    /// Returns the name of the outcome in responses and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Cut => "cut",
            Self::Unknown => "unknown",
        }
    }
}

/// The JSON body of a response that does not come from an upstream.
#[derive(Debug, Serialize)]
pub struct Body<'a> {
    /// The outcome.
    pub outcome: &'static str,
    /// Machine-readable reason.
    pub code: &'a str,
    /// Human-readable reason.
    pub message: &'a str,
    /// Suggested delay before a retry.
    pub retry_after_ms: Option<u64>,
    /// Identifier of the request.
    pub request_id: &'a str,
    /// A new permit, if the request lacked a valid one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub permit: Option<&'a str>,
}

/// Sets a header. A value that is not valid in a header is ignored.
pub fn set(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}

/// Returns a JSON response.
#[must_use]
pub fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = Response::with_body(status, bytes).map_into_boxed_body();
    reply.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    reply
}

/// Returns a plain-text response.
#[must_use]
pub fn text(status: StatusCode, body: impl MessageBody + 'static) -> Reply {
    let mut reply = Response::with_body(status, body).map_into_boxed_body();
    reply.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    reply
}

fn with_outcome(status: StatusCode, outcome: Outcome, body: &Body<'_>) -> Reply {
    let mut reply = json(status, body);
    set(&mut reply, "toucan-outcome", outcome.as_str());
    set(&mut reply, "toucan-request-id", body.request_id);
    if let Some(after) = body.retry_after_ms {
        set(&mut reply, "toucan-retry-after-ms", &after.to_string());
    }
    reply
}

/// Returns the response to a request that was not run, with a new permit if given.
#[must_use]
pub fn refused(refusal: &refusal::Refusal, request_id: &str, permit: Option<&str>) -> Reply {
    let message = refusal.to_string();
    let body = Body {
        outcome: Outcome::NotRun.as_str(),
        code: refusal.code(),
        message: &message,
        retry_after_ms: refusal.retry_after().map(|after| after.as_millis()),
        request_id,
        permit,
    };
    with_outcome(refusal.status(), Outcome::NotRun, &body)
}

/// Returns the response to a request that may have run and failed before anything was sent to the
/// caller.
#[must_use]
pub fn failed(outcome: Outcome, code: &str, message: &str, request_id: &str) -> Reply {
    let status = match outcome {
        Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let body = Body {
        outcome: outcome.as_str(),
        code,
        message,
        retry_after_ms: None,
        request_id,
        permit: None,
    };
    with_outcome(status, outcome, &body)
}
