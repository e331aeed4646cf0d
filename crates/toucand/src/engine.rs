//! One attempt to stream a response from a model engine.

use std::{io, rc::Rc, sync::Arc, time::Duration};

use actix_http::{header::HeaderMap, Method, StatusCode};
use actix_rt::time;
use awc::{
    error::{ConnectError, SendRequestError},
    ClientResponse,
};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Deserialize;

use tsw_base::time::Timestamp;
use tsw_board::runs::Software;

use crate::{call::Call, router::Router, running::Running, slot::Slot};

/// Timeout for connecting and receiving the response head; it does not include the tokens.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for reading the rest of a response after its end line.
const TRAILING_BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// Header of a response in which an engine states the version of its software.
const VERSION_HEADER: &str = "toucan-version";
const MAX_LINE_BYTES: usize = 1_000_000;

/// Why an attempt returned no complete response.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AttemptError {
    /// The connection could not be established; the request was not sent.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Connection(String),
    /// The upstream did not respond in time.
    #[error("no answer in time")]
    Timeout,
    /// The upstream responded with an error status.
    #[error("status {0}")]
    Status(StatusCode),
    /// A line of the stream could not be parsed.
    #[error("the stream is malformed: {0}")]
    Malformed(String),
    /// The index of a token is not the expected one.
    #[error("token {found} arrived where {expected} was due")]
    UnexpectedToken {
        /// Index of the received token.
        found: u64,
        /// Expected index.
        expected: u64,
    },
    /// The stream ended without its end line.
    #[error("the stream ended early")]
    Truncated,
}

impl AttemptError {
    /// Returns whether the upstream may have crashed.
    #[must_use]
    pub const fn is_crash(&self) -> bool {
        matches!(self, Self::Connection(_) | Self::Truncated)
    }
}

/// A line of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Line {
    /// A token, with the unmodified line.
    Token {
        /// Its index.
        index: u64,
        /// The line.
        text: Bytes,
    },
    /// The end line.
    End {
        /// Number of tokens of the whole response.
        tokens: u64,
    },
}

#[derive(Deserialize)]
struct LineFields {
    i: Option<u64>,
    #[serde(default)]
    end: bool,
    #[serde(default)]
    tokens: u64,
}

/// An open stream. Dropping it cancels the stream at the engine and releases the slot.
pub struct Attempt {
    router: Rc<Router>,
    slot: Option<Slot>,
    running: Option<Running>,
    response: Box<ClientResponse>,
    buffer: BytesMut,
    id: Box<str>,
    /// Whether the engine states its software.
    is_stated: bool,
    software: Software,
}

/// Parses and checks a caller's body as the base of the request body for an engine.
///
/// # Errors
///
/// Returns why the caller's body is invalid.
pub fn request_body(call: &Call) -> Result<serde_json::Map<String, serde_json::Value>, String> {
    let body: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(&call.body).map_err(|error| error.to_string())?;
    if !body.get("prompt").is_some_and(serde_json::Value::is_string) {
        return Err("prompt must be a text".to_owned());
    }
    if !body
        .get("max_tokens")
        .is_some_and(serde_json::Value::is_u64)
    {
        return Err("max_tokens must be a whole number".to_owned());
    }
    Ok(body)
}

/// Sends a request to the engine of a slot and waits for the response head.
///
/// # Errors
///
/// Returns why there is no stream.
pub async fn open(
    router: Rc<Router>,
    mut slot: Slot,
    call: Rc<Call>,
    mut body: serde_json::Map<String, serde_json::Value>,
    resume_from: u64,
) -> Result<Attempt, AttemptError> {
    let url = format!("http://{}/v1/generate", slot.address());
    // Callers choose their request identifiers, so two teams may choose the same one. The engine
    // gets an identifier derived from the grant, so that a cancellation affects only this attempt.
    let id = slot.granted().id;
    let id = format!("{}-{}", id.home, id.number).into_boxed_str();
    body.insert("request_id".to_owned(), (&*id).into());
    body.insert("resume_from".to_owned(), resume_from.into());
    let request = router
        .client
        .post(url)
        .insert_header(("toucan-request-id", &*call.request_id))
        .insert_header(("toucan-team", call.team.as_str()));
    slot.start();
    let software = router.software(slot.upstream());
    let running = router.record_dispatch(&call, slot.upstream(), resume_from);
    let mut attempt = PendingAttempt {
        router,
        slot: Some(slot),
        running: Some(running),
        id,
    };
    let sending = time::timeout(HEAD_TIMEOUT, request.send_json(&body));
    let response = match sending.await {
        Err(_) | Ok(Err(SendRequestError::Timeout)) => return Err(AttemptError::Timeout),
        Ok(Err(error)) if is_unsent(&error) => {
            if let Some(slot) = attempt.slot.take() {
                if is_refused(&error) {
                    attempt.router.record_ended_run(slot.upstream());
                }
                slot.unreachable();
            }
            return Err(AttemptError::Unreachable(error.to_string()));
        }
        Ok(Err(error)) => {
            if let Some(slot) = attempt.slot.take() {
                let (router, sent) = (&attempt.router, attempt.running.as_ref());
                router.record_crash(slot.upstream());
                router.check_crash(&call, &slot, sent.map_or(call.arrived, Running::sent));
            }
            return Err(AttemptError::Connection(error.to_string()));
        }
        Ok(Ok(response)) => response,
    };
    if let (Some(slot), Some(running)) = (&attempt.slot, &attempt.running) {
        attempt
            .router
            .record_response(slot.upstream(), running.sent());
    }
    if response.status() != StatusCode::OK {
        attempt.slot.take();
        return Err(AttemptError::Status(response.status()));
    }
    let stated = stated_software(response.headers());
    if let (Some(Software::Stated(version)), Some(slot), Some(running)) =
        (&stated, &attempt.slot, &attempt.running)
    {
        let (router, sent) = (&attempt.router, running.sent());
        router.record_stated_version(slot.upstream(), sent, version);
    }
    Ok(Attempt {
        router: attempt.router.clone(),
        slot: attempt.slot.take(),
        running: attempt.running.take(),
        response: Box::new(response),
        buffer: BytesMut::new(),
        id: std::mem::take(&mut attempt.id),
        is_stated: stated.is_some(),
        software: stated.unwrap_or(software),
    })
}

/// Returns the software that an engine states in the head of its response, which is unknown if it states several or
/// none that is readable.
fn stated_software(headers: &HeaderMap) -> Option<Software> {
    let mut stated = headers.get_all(VERSION_HEADER);
    let version = stated.next()?.to_str().ok();
    let version = version.filter(|version| !version.is_empty() && stated.next().is_none());
    Some(version.map_or(Software::Unknown, |version| {
        Software::Stated(Arc::from(version))
    }))
}

/// A request whose response head has not arrived. Dropping it cancels the request.
struct PendingAttempt {
    router: Rc<Router>,
    slot: Option<Slot>,
    running: Option<Running>,
    id: Box<str>,
}

impl Drop for PendingAttempt {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            cancel(&self.router, slot, &self.id);
        }
    }
}

/// Cancels a stream at the engine. The slot is released only after the engine has responded or the
/// timeout has passed, so that the home does not grant it while the engine still runs the request.
fn cancel(router: &Rc<Router>, slot: Slot, id: &str) {
    let url = format!("http://{}/v1/generate/{id}", slot.address());
    let request = router.client.request(Method::DELETE, url);
    actix_rt::spawn(async move {
        let _ = time::timeout(CANCEL_TIMEOUT, request.send()).await;
        drop(slot);
    });
}

impl Attempt {
    /// Returns the slot.
    #[must_use]
    pub const fn slot(&self) -> Option<&Slot> {
        self.slot.as_ref()
    }

    /// Returns whether the engine states its software, so that nothing else tells it better.
    #[must_use]
    pub const fn states_software(&self) -> bool {
        self.is_stated
    }

    /// Returns the software that the engine states, or else that it was known to run when the request was sent, if
    /// nothing else has become known since.
    #[must_use]
    pub fn software(&self) -> Software {
        if self.is_stated {
            return self.software.clone();
        }
        let upstream = self.slot.as_ref().map(Slot::upstream);
        let now = upstream.map(|upstream| self.router.software(upstream));
        if now.as_ref().is_some_and(|now| *now != self.software) {
            return Software::Unknown;
        }
        self.software.clone()
    }

    /// Returns when the request was sent.
    #[must_use]
    pub fn sent(&self) -> Option<Timestamp> {
        self.running.as_ref().map(Running::sent)
    }

    /// Waits for the next lines. This is cancel-safe: no data is lost.
    ///
    /// # Errors
    ///
    /// Returns why the stream failed.
    pub async fn read(&mut self) -> Result<Vec<Line>, AttemptError> {
        loop {
            let part = match self.response.next().await {
                None => return Err(AttemptError::Truncated),
                Some(Err(error)) => return Err(AttemptError::Connection(error.to_string())),
                Some(Ok(part)) => part,
            };
            self.buffer.extend_from_slice(&part);
            let lines = parse_lines(&mut self.buffer)?;
            if !lines.is_empty() {
                return Ok(lines);
            }
        }
    }

    /// Releases the slot after the end line and reports the token latency.
    pub fn finish(mut self, token_latency: Option<tsw_base::time::Span>) {
        if let Some(running) = self.running.take() {
            running.complete();
        }
        if let Some(slot) = self.slot.take() {
            slot.finish(token_latency);
        }
        // The HTTP client reuses a connection only if the response was read to its end.
        actix_rt::spawn(async move {
            let rest = async { while let Some(Ok(_)) = self.response.next().await {} };
            let _ = time::timeout(TRAILING_BODY_TIMEOUT, rest).await;
        });
    }

    /// Releases the slot of a failed stream without a cancellation, since the engine no longer runs it.
    pub fn fail(mut self) {
        self.slot.take();
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            cancel(&self.router, slot, &self.id);
        }
    }
}

fn parse_lines(buffer: &mut BytesMut) -> Result<Vec<Line>, AttemptError> {
    let mut lines = Vec::new();
    while let Some(len) = buffer.iter().position(|byte| *byte == b'\n') {
        let text = buffer.split_to(len).freeze();
        buffer.advance(1);
        if text.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let fields: LineFields = serde_json::from_slice(&text)
            .map_err(|error| AttemptError::Malformed(error.to_string()))?;
        lines.push(match fields {
            LineFields {
                end: true, tokens, ..
            } => Line::End { tokens },
            LineFields { i: Some(index), .. } => Line::Token { index, text },
            _ => {
                return Err(AttemptError::Malformed(
                    "a line has neither i nor end".to_owned(),
                ))
            }
        });
    }
    if buffer.len() > MAX_LINE_BYTES {
        return Err(AttemptError::Malformed("a line is too long".to_owned()));
    }
    Ok(lines)
}

/// Returns whether an error proves that no byte of the request was sent. Not every connect error does:
/// the client also reports a connection that closed after the request was written as one.
const fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(error) => {
            !matches!(error, ConnectError::Disconnected | ConnectError::H2(_))
        }
        _ => false,
    }
}

/// Returns whether nothing accepts connections at the address of the engine.
fn is_refused(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Io(error)) => {
            error.kind() == io::ErrorKind::ConnectionRefused
        }
        _ => false,
    }
}
