//! One attempt to get a response from a model engine.

use std::{rc::Rc, time::Duration};

use actix_http::{Method, StatusCode};
use actix_rt::time;
use awc::{
    error::{ConnectError, SendRequestError},
    ClientResponse,
};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Deserialize;

use crate::{call::Call, router::Router, running::Running, slot::Slot};

/// Longest time for a connection and the head of a response. Tokens come later.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time to read the rest of a response after its end line.
const REST_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_LINE_BYTES: usize = 1_000_000;

/// Why an attempt gave no complete response.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Broken {
    /// No connection could be made; the request was not sent.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Connection(String),
    /// The upstream did not answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The upstream answered with an error.
    #[error("status {0}")]
    Status(StatusCode),
    /// The stream does not have the expected form.
    #[error("the stream is malformed: {0}")]
    Form(String),
    /// A token index was left out.
    #[error("token {found} arrived where {expected} was due")]
    Gap {
        /// Index of the token.
        found: u64,
        /// Index that was due.
        expected: u64,
    },
    /// The stream ended without its end line.
    #[error("the stream ended early")]
    Early,
}

impl Broken {
    /// Returns whether the upstream may have crashed.
    #[must_use]
    pub const fn is_crash(&self) -> bool {
        matches!(self, Self::Connection(_) | Self::Early)
    }
}

/// A line of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Line {
    /// A token, with the line as it arrived.
    Token {
        /// Its index.
        index: u64,
        /// The line.
        text: Bytes,
    },
    /// The end.
    End {
        /// Tokens of the whole response.
        tokens: u64,
    },
}

#[derive(Deserialize)]
struct Fields {
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
    id: String,
}

/// Makes the body for an engine of a caller's body.
///
/// # Errors
///
/// Returns what is wrong with the caller's body.
pub fn body(call: &Call) -> Result<serde_json::Map<String, serde_json::Value>, String> {
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

/// Sends a request to the engine of a slot and waits for the head of the response.
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
) -> Result<Attempt, Broken> {
    let url = format!("http://{}/v1/generate", slot.address());
    // Callers choose their request identifiers, and two teams may choose the same one. The engine
    // gets the identifier of the grant, so that a cancellation hits this attempt only.
    let id = slot.granted().id;
    let id = format!("{}-{}", id.home, id.number);
    body.insert("request_id".to_owned(), id.as_str().into());
    body.insert("resume_from".to_owned(), resume_from.into());
    let request = router
        .client
        .post(url)
        .insert_header(("toucan-request-id", &*call.request_id))
        .insert_header(("toucan-team", call.team.as_str()));
    slot.start();
    let running = router.dispatched(&call, slot.upstream(), resume_from);
    let mut attempt = Sending {
        router,
        slot: Some(slot),
        running: Some(running),
        id,
    };
    let sending = time::timeout(HEAD_TIMEOUT, request.send_json(&body));
    let response = match sending.await {
        Err(_) | Ok(Err(SendRequestError::Timeout)) => return Err(Broken::Timeout),
        Ok(Err(error)) if is_unsent(&error) => {
            if let Some(slot) = attempt.slot.take() {
                slot.unreachable();
            }
            return Err(Broken::Unreachable(error.to_string()));
        }
        Ok(Err(error)) => {
            if let Some(slot) = attempt.slot.take() {
                attempt.router.crashed(slot.upstream());
            }
            return Err(Broken::Connection(error.to_string()));
        }
        Ok(Ok(response)) => response,
    };
    if response.status() != StatusCode::OK {
        attempt.slot.take();
        return Err(Broken::Status(response.status()));
    }
    Ok(Attempt {
        router: attempt.router.clone(),
        slot: attempt.slot.take(),
        running: attempt.running.take(),
        response: Box::new(response),
        buffer: BytesMut::new(),
        id: std::mem::take(&mut attempt.id),
    })
}

/// A request whose response has not started. Dropping it cancels the request.
struct Sending {
    router: Rc<Router>,
    slot: Option<Slot>,
    running: Option<Running>,
    id: String,
}

impl Drop for Sending {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            cancel(&self.router, slot, &self.id);
        }
    }
}

/// Cancels a stream at the engine. The slot is held until the engine has answered, so that the home
/// does not grant it while the engine still runs the request.
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

    /// Waits for the next lines. Cancelling it loses nothing.
    ///
    /// # Errors
    ///
    /// Returns why the stream broke.
    pub async fn read(&mut self) -> Result<Vec<Line>, Broken> {
        loop {
            let part = match self.response.next().await {
                None => return Err(Broken::Early),
                Some(Err(error)) => return Err(Broken::Connection(error.to_string())),
                Some(Ok(part)) => part,
            };
            self.buffer.extend_from_slice(&part);
            let lines = lines(&mut self.buffer)?;
            if !lines.is_empty() {
                return Ok(lines);
            }
        }
    }

    /// Releases the slot after the end line.
    pub fn finish(mut self, pace: Option<tsw_base::time::Span>) {
        if let Some(running) = self.running.take() {
            running.complete();
        }
        if let Some(slot) = self.slot.take() {
            slot.finish(pace);
        }
        // The client reuses a connection only if the response was read to its end.
        actix_rt::spawn(async move {
            let rest = async { while let Some(Ok(_)) = self.response.next().await {} };
            let _ = time::timeout(REST_TIMEOUT, rest).await;
        });
    }

    /// Releases the slot of a stream that the engine itself ended or broke.
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

fn lines(buffer: &mut BytesMut) -> Result<Vec<Line>, Broken> {
    let mut lines = Vec::new();
    while let Some(len) = buffer.iter().position(|byte| *byte == b'\n') {
        let text = buffer.split_to(len).freeze();
        buffer.advance(1);
        if text.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let fields: Fields =
            serde_json::from_slice(&text).map_err(|error| Broken::Form(error.to_string()))?;
        lines.push(match fields {
            Fields {
                end: true, tokens, ..
            } => Line::End { tokens },
            Fields { i: Some(index), .. } => Line::Token { index, text },
            _ => return Err(Broken::Form("a line has neither i nor end".to_owned())),
        });
    }
    if buffer.len() > MAX_LINE_BYTES {
        return Err(Broken::Form("a line is too long".to_owned()));
    }
    Ok(lines)
}

/// Returns whether an error shows that no byte of the request was sent. The client also reports a
/// connection that closed after the request was written as a connect error.
const fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(error) => {
            !matches!(error, ConnectError::Disconnected | ConnectError::H2(_))
        }
        _ => false,
    }
}
