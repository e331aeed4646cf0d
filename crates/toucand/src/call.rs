//! Reads a call from an HTTP request and checks it.

use std::{sync::Arc, time::Duration};

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
    time::{Span, Tick},
};
use tsw_config::{bundle, service};

use crate::refusal::Refusal;

/// Longest time between two parts of a body.
const BODY_GAP: Duration = Duration::from_secs(5);
/// Longest deadline, in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
const MAX_REQUEST_ID: usize = 128;
const PREFIX: &str = "/v1/call/";

/// A call that passed the checks.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier of the request, the caller's if it gave one.
    pub request_id: Arc<str>,
    /// The team that the credential belongs to.
    pub team: name::Team,
    /// The service.
    pub service: name::Service,
    /// What the upstreams of the service are.
    pub kind: service::Kind,
    /// Whether the call may be run more than once.
    pub repeatable: bool,
    /// Cost in tokens as the caller expects it; 0 if it gave no hint.
    pub cost_hint: u32,
    /// Whether the hint counts as short.
    pub short: bool,
    /// When the call arrived.
    pub arrived: Tick,
    /// When the call is given up.
    pub deadline: Tick,
    /// HTTP method.
    pub method: Method,
    /// Path below the service's base, with the query.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Idempotency key as the caller sent it.
    pub key: Option<Arc<str>>,
    /// Body.
    pub body: Bytes,
}

/// What a call is checked against.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The bundle in force.
    pub bundle: Arc<bundle::Bundle>,
    /// Teams by the digests of their tokens.
    pub teams: Arc<indexmap::IndexMap<String, name::Team>>,
    /// Most bytes in a body.
    pub body_bytes: usize,
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Refusal> {
    match headers.get(name) {
        None => Ok(None),
        Some(value) => value.to_str().map(Some).map_err(|_| Refusal::Header(name)),
    }
}

fn number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, Refusal> {
    text(headers, name)?
        .map(|value| value.trim().parse().map_err(|_| Refusal::Header(name)))
        .transpose()
}

/// Returns the caller's identifier of a request, if it gave a valid one.
///
/// # Errors
///
/// Returns [`Refusal::Header`] for an identifier that cannot be logged or returned.
pub fn request_id(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    const NAME: &str = "toucan-request-id";
    match text(headers, NAME)? {
        None => Ok(None),
        Some(id) => {
            let visible = id.bytes().all(|byte| byte.is_ascii_graphic());
            if id.is_empty() || id.len() > MAX_REQUEST_ID || !visible {
                return Err(Refusal::Header(NAME));
            }
            Ok(Some(Arc::from(id)))
        }
    }
}

/// Returns the team whose token the request carries.
///
/// # Errors
///
/// Returns [`Refusal::Credential`] if there is no token or no team accepts it.
pub fn team(headers: &HeaderMap, rules: &Rules) -> Result<name::Team, Refusal> {
    let token = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(Refusal::Credential)?;
    // The comparison is between digests, so its timing tells nothing about a token.
    let digest = hex::encode(Sha256::digest(token.trim().as_bytes()));
    rules.teams.get(&digest).cloned().ok_or(Refusal::Credential)
}

struct Target<'a> {
    service: &'a service::Service,
    path: Arc<str>,
}

fn target<'a>(request: &Request, rules: &'a Rules) -> Result<Target<'a>, Refusal> {
    let uri = request.uri();
    let rest = uri.path().strip_prefix(PREFIX).ok_or(Refusal::Path)?;
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

/// Reads a call. The body is read last, so that a call that is refused for its headers costs little.
///
/// # Errors
///
/// Returns why the call is refused.
pub async fn read(
    request: &mut Request,
    request_id: Arc<str>,
    arrived: Tick,
    rules: &Rules,
) -> Result<Call, Refusal> {
    let team = team(request.headers(), rules)?;
    let target = target(request, rules)?;
    let service = target.service;
    let known = rules.bundle.teams.get(&team).ok_or(Refusal::Credential)?;
    if !known.shares.contains_key(&service.service) {
        return Err(Refusal::Share);
    }
    check_method(request.method(), service)?;
    let headers = request.headers();
    let deadline_ms = number(headers, "toucan-deadline-ms")?.unwrap_or(service.deadline_ms);
    if deadline_ms == 0 {
        return Err(Refusal::Deadline);
    }
    let deadline = arrived + Span::from_millis(deadline_ms.min(MAX_DEADLINE_MS));
    let hint = number(headers, "toucan-cost-hint")?.unwrap_or(0);
    let cost_hint = u32::try_from(hint).unwrap_or(u32::MAX);
    let key = text(headers, "toucan-key")?.map(Arc::from);
    let content_type = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    let content_type = Arc::from(content_type);
    let body = body(request, rules.body_bytes).await?;
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

async fn body(request: &mut Request, limit: usize) -> Result<Bytes, Refusal> {
    let announced = request
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<usize>().ok());
    if announced.is_some_and(|bytes| bytes > limit) {
        return Err(Refusal::Large { limit });
    }
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    loop {
        let part = time::timeout(BODY_GAP, payload.next())
            .await
            .map_err(|_| Refusal::Slow)?;
        let part = match part {
            None => break,
            Some(Ok(part)) => part,
            Some(Err(PayloadError::Overflow)) => return Err(Refusal::Large { limit }),
            Some(Err(_)) => return Err(Refusal::Truncated),
        };
        if body.len() + part.len() > limit {
            return Err(Refusal::Large { limit });
        }
        body.extend_from_slice(&part);
    }
    if announced.is_some_and(|bytes| bytes != body.len()) {
        return Err(Refusal::Truncated);
    }
    Ok(body.freeze())
}
