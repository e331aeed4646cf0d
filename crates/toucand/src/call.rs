//! Parses and validates a call from an HTTP request.

use std::{cell::Cell, sync::Arc, time::Duration};

use actix_http::{
    error::PayloadError,
    header::{HeaderMap, AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE},
    HttpMessage as _, Method, Request,
};
use actix_rt::time;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use sha2::{Digest, Sha256};
use tsw_base::{
    name,
    time::{Span, Timestamp},
};
use tsw_config::{bundle, service};

use crate::refusal::Refusal;

/// Longest wait for the next chunk of a request body.
const BODY_CHUNK_TIMEOUT: Duration = Duration::from_secs(5);
/// Upper bound of the requested deadline in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
const MAX_REQUEST_ID_BYTES: usize = 128;
const PATH_PREFIX: &str = "/v1/call/";

/// A validated call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier of the request: the caller's, or a generated one if it sent none.
    pub request_id: Arc<str>,
    /// The team authenticated by the bearer token.
    pub team: name::Team,
    /// The requested service.
    pub service: name::Service,
    /// Whether the upstreams of the service are model engines or plain workers.
    pub kind: service::Kind,
    /// Whether the call is idempotent and may be run more than once.
    pub repeatable: bool,
    /// Cost in tokens estimated by the caller; 0 if it sent no hint.
    pub cost_hint: u32,
    /// Whether the call is queued as short: by its cost hint, or because the service is plain.
    pub short: bool,
    /// When the call arrived.
    pub arrived: Timestamp,
    /// When the call is abandoned.
    pub deadline: Timestamp,
    /// HTTP method.
    pub method: Method,
    /// Path relative to the service, with the query.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Idempotency key as the caller sent it.
    pub key: Option<Arc<str>>,
    /// Request body.
    pub body: Bytes,
    /// Whether the call runs once although it is refused because it crashes upstreams.
    pub on_trial: Cell<bool>,
}

/// Configuration that calls are validated against.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The current bundle.
    pub bundle: Arc<bundle::Bundle>,
    /// Teams by the SHA-256 digests of their tokens.
    pub teams: Arc<indexmap::IndexMap<String, name::Team>>,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
}

fn header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Refusal> {
    match headers.get(name) {
        None => Ok(None),
        Some(value) => value.to_str().map(Some).map_err(|_| Refusal::Header(name)),
    }
}

fn header_number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, Refusal> {
    header_text(headers, name)?
        .map(|value| value.trim().parse().map_err(|_| Refusal::Header(name)))
        .transpose()
}

/// Returns the request identifier sent by the caller, if any.
///
/// # Errors
///
/// Returns [`Refusal::Header`] if the identifier is empty, too long, or contains characters other
/// than visible ASCII, so that it could not be logged or returned.
pub fn request_id(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    const NAME: &str = "toucan-request-id";
    match header_text(headers, NAME)? {
        None => Ok(None),
        Some(id) => {
            let visible = id.bytes().all(|byte| byte.is_ascii_graphic());
            if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES || !visible {
                return Err(Refusal::Header(NAME));
            }
            Ok(Some(Arc::from(id)))
        }
    }
}

/// Authenticates the team by the bearer token of the request.
///
/// # Errors
///
/// Returns [`Refusal::Credential`] if the token is absent or belongs to no team.
pub fn team(headers: &HeaderMap, rules: &Rules) -> Result<name::Team, Refusal> {
    let token = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(Refusal::Credential)?;
    // Comparing digests instead of tokens keeps the timing from revealing anything about a token.
    let digest = hex::encode(Sha256::digest(token.trim().as_bytes()));
    rules.teams.get(&digest).cloned().ok_or(Refusal::Credential)
}

struct Target<'a> {
    service: &'a service::Service,
    path: Arc<str>,
}

fn parse_target<'a>(request: &Request, rules: &'a Rules) -> Result<Target<'a>, Refusal> {
    let uri = request.uri();
    let rest = uri.path().strip_prefix(PATH_PREFIX).ok_or(Refusal::Path)?;
    let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let service = rules.bundle.services.get(name).ok_or(Refusal::Service)?;
    let path = if path.is_empty() { "/" } else { path };
    let path = match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    Ok(Target {
        service,
        path: Arc::from(path),
    })
}

/// Reads and validates a call. The body is read last, so that a call refused because of its headers
/// is cheap.
///
/// # Errors
///
/// Returns why the call is refused.
pub async fn read(
    request: &mut Request,
    request_id: Arc<str>,
    arrived: Timestamp,
    rules: &Rules,
) -> Result<Call, Refusal> {
    let team = team(request.headers(), rules)?;
    let target = parse_target(request, rules)?;
    let service = target.service;
    let team_entry = rules.bundle.teams.get(&team).ok_or(Refusal::Credential)?;
    if !team_entry.shares.contains_key(&service.service) {
        return Err(Refusal::Share);
    }
    check_method(request.method(), service)?;
    let headers = request.headers();
    let deadline_ms = header_number(headers, "toucan-deadline-ms")?.unwrap_or(service.deadline_ms);
    if deadline_ms == 0 {
        return Err(Refusal::Deadline);
    }
    let deadline = arrived + Span::from_millis(deadline_ms.min(MAX_DEADLINE_MS));
    let hint = header_number(headers, "toucan-cost-hint")?.unwrap_or(0);
    let cost_hint = u32::try_from(hint).unwrap_or(u32::MAX);
    let key = header_text(headers, "toucan-key")?.map(Arc::from);
    let content_type = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    let content_type = Arc::from(content_type);
    let body = read_body(request, rules.body_bytes).await?;
    Ok(Call {
        request_id,
        team,
        service: service.service.clone(),
        kind: service.kind,
        repeatable: service.repeatable,
        cost_hint,
        short: cost_hint > 0 && cost_hint <= service.short_tokens
            || service.kind == service::Kind::Plain,
        arrived,
        deadline,
        method: request.method().clone(),
        path: target.path,
        content_type,
        key,
        body,
        on_trial: Cell::default(),
    })
}

fn check_method(method: &Method, service: &service::Service) -> Result<(), Refusal> {
    let allowed = match service.kind {
        service::Kind::Model => *method == Method::POST,
        service::Kind::Plain => {
            *method == Method::POST || (service.repeatable && *method == Method::GET)
        }
    };
    allowed.then_some(()).ok_or(Refusal::Method)
}

async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, Refusal> {
    let content_length = request
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<usize>().ok());
    if content_length.is_some_and(|bytes| bytes > limit) {
        return Err(Refusal::BodyTooLarge { limit });
    }
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    loop {
        let chunk = time::timeout(BODY_CHUNK_TIMEOUT, payload.next())
            .await
            .map_err(|_| Refusal::BodyTimeout)?;
        let chunk = match chunk {
            None => break,
            Some(Ok(chunk)) => chunk,
            Some(Err(PayloadError::Overflow)) => return Err(Refusal::BodyTooLarge { limit }),
            Some(Err(_)) => return Err(Refusal::BodyTruncated),
        };
        if body.len() + chunk.len() > limit {
            return Err(Refusal::BodyTooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
    if content_length.is_some_and(|bytes| bytes != body.len()) {
        return Err(Refusal::BodyTruncated);
    }
    Ok(body.freeze())
}
