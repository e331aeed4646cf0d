//! A small router without coordination, to compare the daemons with.
//!
//! It answers `locate` and `call` of one model service as the daemons do, without permits, limits,
//! hedging or records.

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

pub use queue::{Queue, Waiting};

const KEEP_MS: u64 = 30_000;
const CHARGE_PERIOD: Duration = Duration::from_millis(50);
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// An engine as this router reaches it.
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
    /// Address for the readiness check.
    pub operator: SocketAddr,
    /// All routers, for locate.
    pub peers: Vec<(String, SocketAddr)>,
    /// Engines.
    pub upstreams: Vec<Upstream>,
    /// Slots of an engine.
    pub slots: u32,
    /// Bearer tokens of teams and their shares.
    pub teams: Vec<(String, f64)>,
    /// Seed of the random choices.
    pub seed: u64,
}

#[derive(Deserialize)]
struct Body {
    prompt: String,
    max_tokens: u64,
}

struct Router {
    config: Config,
    queue: RefCell<Queue>,
    client: awc::Client,
}

/// Gives the slot back when the answer ends or the caller disconnects.
struct Held {
    router: Rc<Router>,
    run: u64,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.router.queue.borrow_mut().release(self.run);
    }
}

/// Runs a router until the process is ended.
///
/// # Errors
///
/// Returns why an address cannot be listened on.
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
    let served = Rc::clone(&router);
    let handler: http::Handler = Rc::new(move |call| {
        let router = Rc::clone(&served);
        Box::pin(async move { route(router, call).await })
    });
    let _callers = http::Server::bind(router.config.listen, handler).await?;
    let ready: http::Handler = Rc::new(|_| Box::pin(async { http::ok() }));
    let _operators = http::Server::bind(router.config.operator, ready).await?;
    if router.config.policy == Policy::TwoChoices {
        actix_rt::spawn(read_reports(Rc::clone(&router)));
    }
    loop {
        actix_rt::time::sleep(CHARGE_PERIOD).await;
        router.queue.borrow_mut().charge();
    }
}

async fn route(router: Rc<Router>, call: http::Call) -> http::HttpResponse {
    if call.path == "/v1/locate" {
        let own = (router.config.host.clone(), router.config.listen);
        let others = router
            .config
            .peers
            .iter()
            .filter(|(host, _)| *host != own.0);
        let all = std::iter::once(&own).chain(others);
        let addresses: Vec<_> = all
            .map(|(host, address)| serde_json::json!({"host": host, "domain": "", "address": address}))
            .collect();
        let body = serde_json::json!({"addresses": addresses, "keep_ms": KEEP_MS, "permit": null});
        return http::json(StatusCode::OK, &body);
    }
    if !call.path.starts_with("/v1/call/") {
        return http::not_found(&call);
    }
    match generate(router, &call).await {
        Ok(reply) | Err(reply) => reply,
    }
}

async fn generate(
    router: Rc<Router>,
    call: &http::Call,
) -> Result<http::HttpResponse, http::HttpResponse> {
    let body: Body = call.json()?;
    let id = call.header("toucan-request-id").unwrap_or_default();
    let token = call.header("authorization").unwrap_or_default();
    let token = token.trim_start_matches("Bearer ");
    let teams = &router.config.teams;
    let team = teams.iter().position(|(known, _)| known == token);
    let team =
        team.ok_or_else(|| http::error_response(StatusCode::UNAUTHORIZED, &"unknown token"))?;
    let hint = call.header("toucan-cost-hint").and_then(|h| h.parse().ok());
    let (grant, granted) = oneshot::channel();
    router.queue.borrow_mut().push(Waiting {
        team,
        tokens: body.max_tokens,
        hint: hint.unwrap_or(body.max_tokens),
        grant,
    });
    let granted = granted.await;
    let (run, upstream) =
        granted.map_err(|error| http::error_response(StatusCode::SERVICE_UNAVAILABLE, &error))?;
    let held = Held {
        router: Rc::clone(&router),
        run,
    };
    let url = format!(
        "http://{}/v1/generate",
        router.config.upstreams[upstream].address
    );
    let order = serde_json::json!({
        "request_id": id, "prompt": body.prompt, "max_tokens": body.max_tokens, "resume_from": 0,
    });
    let sent = router
        .client
        .post(url)
        .insert_header(("toucan-request-id", id.as_str()))
        .send_body(Bytes::from(order.to_string()));
    let answer = sent
        .await
        .map_err(|error| http::error_response(StatusCode::BAD_GATEWAY, &error))?;
    let lines = Lines {
        answer: Some(Box::pin(answer)),
        buffer: Vec::new(),
        ended: false,
        id,
        _held: held,
    };
    let events = stream::unfold(lines, |mut lines| async move {
        let piece = lines.next().await?;
        Some((Ok::<_, Infallible>(piece), lines))
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

type Answer =
    futures_util::stream::LocalBoxStream<'static, Result<Bytes, awc::error::PayloadError>>;

/// Turns the lines of an engine into events.
struct Lines {
    answer: Option<Answer>,
    buffer: Vec<u8>,
    ended: bool,
    id: String,
    _held: Held,
}

impl Lines {
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            let part = self.answer.as_mut()?.next().await;
            let Some(Ok(part)) = part else {
                self.answer = None;
                return Some(self.end());
            };
            self.buffer.extend_from_slice(&part);
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
                self.answer = None;
                events.extend_from_slice(&self.end());
            }
            if !events.is_empty() {
                return Some(Bytes::from(events));
            }
        }
    }

    fn end(&self) -> Bytes {
        let outcome = if self.ended { "complete" } else { "cut" };
        let data = serde_json::json!({"outcome": outcome, "request_id": self.id});
        Bytes::from(format!("event: end\ndata: {data}\n\n"))
    }
}

#[derive(Deserialize)]
struct Load {
    running: u64,
    waiting: u64,
}

/// Reads the load reports of all engines again and again.
async fn read_reports(router: Rc<Router>) {
    loop {
        for (index, upstream) in router.config.upstreams.iter().enumerate() {
            let url = format!("http://{}/v1/load", upstream.address);
            let router = Rc::clone(&router);
            actix_rt::spawn(async move {
                let Ok(mut reply) = router.client.get(url).send().await else {
                    return;
                };
                let Ok(body) = reply.body().await else { return };
                if let Ok(load) = serde_json::from_slice::<Load>(&body) {
                    let load = load.running + load.waiting;
                    router.queue.borrow_mut().reported(index, load);
                }
            });
        }
        actix_rt::time::sleep(REPORT_PERIOD).await;
    }
}
