//! A simple router without coordination, as a baseline for the measurements of `toucand`.
//!
//! It serves locate requests and calls of one model service like `toucand`, but without permits,
//! limits, hedging or an audit log.

use std::{cell::RefCell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    body::{BodyStream, MessageBody as _},
    header::HeaderValue,
    Response, StatusCode,
};
use bytes::Bytes;
use futures_util::{stream, StreamExt as _};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tsw_fake::http;

use crate::policy::Policy;

mod queue;

pub use queue::{Queue, QueuedRequest};

/// Time for which callers may cache the response to a locate request.
const KEEP_MS: u64 = 30_000;
const CHARGE_INTERVAL: Duration = Duration::from_millis(50);
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// An engine, with its address as this router sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Upstream {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
}

/// Settings of a baseline router.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Config {
    /// The policy.
    pub policy: Policy,
    /// Host name.
    pub host: String,
    /// Failure domain.
    pub domain: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for readiness checks.
    pub operator: SocketAddr,
    /// All routers, for responses to locate requests.
    pub peers: Vec<(String, SocketAddr)>,
    /// Engines.
    pub upstreams: Vec<Upstream>,
    /// Slots of an engine.
    pub slots: u32,
    /// Bearer token and share of each team.
    pub teams: Vec<(String, f64)>,
    /// Seed of the random choices.
    pub seed: u64,
}

#[derive(Deserialize)]
struct CallBody {
    prompt: String,
    max_tokens: u64,
}

struct Router {
    config: Config,
    queue: RefCell<Queue>,
    client: awc::Client,
}

/// Releases the slot of a run when the response ends or the caller disconnects.
struct SlotGuard {
    router: Rc<Router>,
    run: u64,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.router.queue.borrow_mut().release(self.run);
    }
}

/// Runs a router until the process ends.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
pub async fn run(config: Config) -> Result<(), http::Error> {
    let connector = awc::Connector::new().limit(0);
    let router = Rc::new(Router {
        queue: RefCell::new(Queue::new(&config)),
        client: awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .finish(),
        config,
    });
    let handler_router = Rc::clone(&router);
    let handler: http::Handler = Rc::new(move |call| {
        let router = Rc::clone(&handler_router);
        Box::pin(async move { handle(router, call).await })
    });
    let _callers = http::Server::bind(router.config.listen, handler).await?;
    let ready_handler: http::Handler = Rc::new(|_| Box::pin(async { http::ok() }));
    let _operators = http::Server::bind(router.config.operator, ready_handler).await?;
    if router.config.policy == Policy::TwoChoices {
        actix_rt::spawn(poll_load_reports(Rc::clone(&router)));
    }
    loop {
        actix_rt::time::sleep(CHARGE_INTERVAL).await;
        router.queue.borrow_mut().charge_running();
    }
}

async fn handle(router: Rc<Router>, call: http::Call) -> http::HttpResponse {
    if call.path == "/v1/locate" {
        let own = (router.config.host.clone(), router.config.listen);
        let others = router
            .config
            .peers
            .iter()
            .filter(|(host, _)| *host != own.0);
        let all = std::iter::once(&own).chain(others);
        let addresses: Vec<_> = all
            .map(|(host, address)| {
                serde_json::json!({"host": host, "domain": "", "address": address})
            })
            .collect();
        let body = serde_json::json!({"addresses": addresses, "keep_ms": KEEP_MS, "permit": null});
        return http::json(StatusCode::OK, &body);
    }
    if !call.path.starts_with("/v1/call/") {
        return http::not_found(&call);
    }
    match handle_call(router, &call).await {
        Ok(reply) | Err(reply) => reply,
    }
}

async fn handle_call(
    router: Rc<Router>,
    call: &http::Call,
) -> Result<http::HttpResponse, http::HttpResponse> {
    let body: CallBody = call.json()?;
    let id = call.header("toucan-request-id").unwrap_or_default();
    let token = call.header("authorization").unwrap_or_default();
    let token = token.trim_start_matches("Bearer ");
    let teams = &router.config.teams;
    let team = teams.iter().position(|(known, _)| known == token);
    let team =
        team.ok_or_else(|| http::error_response(StatusCode::UNAUTHORIZED, &"unknown token"))?;
    let cost_hint = call.header("toucan-cost-hint").and_then(|h| h.parse().ok());
    let (grant, granted) = oneshot::channel();
    router.queue.borrow_mut().push(QueuedRequest {
        team,
        tokens: body.max_tokens,
        cost_hint: cost_hint.unwrap_or(body.max_tokens),
        grant,
    });
    let grant = granted.await;
    let (run, upstream) =
        grant.map_err(|error| http::error_response(StatusCode::SERVICE_UNAVAILABLE, &error))?;
    let slot = SlotGuard {
        router: Rc::clone(&router),
        run,
    };
    let url = format!(
        "http://{}/v1/generate",
        router.config.upstreams[upstream].address
    );
    let request = serde_json::json!({
        "request_id": id, "prompt": body.prompt, "max_tokens": body.max_tokens, "resume_from": 0,
    });
    let sent = router
        .client
        .post(url)
        .insert_header(("toucan-request-id", id.as_str()))
        .send_body(Bytes::from(request.to_string()));
    let response = sent
        .await
        .map_err(|error| http::error_response(StatusCode::BAD_GATEWAY, &error))?;
    let event_stream = EventStream {
        body: Some(Box::pin(response)),
        buffer: Vec::new(),
        ended: false,
        id,
        _slot: slot,
    };
    let events = stream::unfold(event_stream, |mut event_stream| async move {
        let chunk = event_stream.next().await?;
        Some((Ok::<_, Infallible>(chunk), event_stream))
    });
    let mut reply = Response::new(StatusCode::OK).set_body(BodyStream::new(events).boxed());
    let headers = reply.headers_mut();
    headers.insert(
        actix_http::header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(
        actix_http::header::HeaderName::from_static("toucan-outcome"),
        HeaderValue::from_static("stream"),
    );
    Ok(reply)
}

type EngineBody =
    futures_util::stream::LocalBoxStream<'static, Result<Bytes, awc::error::PayloadError>>;

/// Converts the lines of an engine into server-sent events.
struct EventStream {
    body: Option<EngineBody>,
    buffer: Vec<u8>,
    ended: bool,
    id: String,
    _slot: SlotGuard,
}

impl EventStream {
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            let chunk = self.body.as_mut()?.next().await;
            let Some(Ok(chunk)) = chunk else {
                self.body = None;
                return Some(self.end_event());
            };
            self.buffer.extend_from_slice(&chunk);
            let mut events = Vec::new();
            while let Some(len) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=len).collect();
                if line.starts_with(b"{\"end\"") {
                    self.ended = true;
                    continue;
                }
                events.extend_from_slice(b"data: ");
                events.extend_from_slice(&line);
                events.push(b'\n');
            }
            if self.ended {
                self.body = None;
                events.extend_from_slice(&self.end_event());
            }
            if !events.is_empty() {
                return Some(Bytes::from(events));
            }
        }
    }

    fn end_event(&self) -> Bytes {
        let outcome = if self.ended { "complete" } else { "cut" };
        let data = serde_json::json!({"outcome": outcome, "request_id": self.id});
        Bytes::from(format!("event: end\ndata: {data}\n\n"))
    }
}

#[derive(Deserialize)]
struct LoadReport {
    running: u64,
    waiting: u64,
}

/// Requests the load reports of all engines periodically.
async fn poll_load_reports(router: Rc<Router>) {
    loop {
        for (index, upstream) in router.config.upstreams.iter().enumerate() {
            let url = format!("http://{}/v1/load", upstream.address);
            let router = Rc::clone(&router);
            actix_rt::spawn(async move {
                let Ok(mut response) = router.client.get(url).send().await else {
                    return;
                };
                let Ok(body) = response.body().await else {
                    return;
                };
                if let Ok(report) = serde_json::from_slice::<LoadReport>(&body) {
                    let load = report.running + report.waiting;
                    router.queue.borrow_mut().set_load(index, load);
                }
            });
        }
        actix_rt::time::sleep(LOAD_REPORT_INTERVAL).await;
    }
}
