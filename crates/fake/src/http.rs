//! The HTTP listener that the stand-ins share.
//!
//! A [`Server`] reads each request completely and passes it to a handler. Stopping it closes the
//! listener and all connections at once, as the crash of a process would.

use std::{cell::Cell, convert::Infallible, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    body::{BoxBody, MessageBody},
    header::{self, HeaderMap, HeaderValue},
    HttpMessage as _, HttpService, KeepAlive, Method, Request, Response, StatusCode,
};
use actix_rt::net::TcpStream;
use actix_service::{Service as _, ServiceFactory as _};
use bytes::{Bytes, BytesMut};
use futures_util::{future::LocalBoxFuture, StreamExt as _};
use indexmap::IndexMap;
use serde::{de::DeserializeOwned, Serialize};
use tokio::{net::TcpListener, sync::Notify, task};

/// Largest request body that is read, in bytes. The largest value has 1 MB.
pub const MAX_BODY_BYTES: usize = 2_000_000;

/// Time that an idle connection is kept. It exceeds the idle time after which clients close their
/// pooled connections, so a client does not send a call on a connection that is being closed.
const KEEP_ALIVE: Duration = Duration::from_secs(300);

/// Why a listener cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {source}; choose a free loopback address")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method of the request.
    pub method: Method,
    /// Path, without the query.
    pub path: String,
    /// Query, without the question mark; empty when absent.
    pub query: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
}

impl Call {
    /// Returns a parameter of the query, with percent signs decoded.
    #[must_use]
    pub fn param(&self, key: &str) -> Option<String> {
        self.query.split('&').find_map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (name == key).then(|| decode(value))
        })
    }

    /// Returns the stand-in that the parameter `name` names, or all of them without it.
    ///
    /// # Errors
    ///
    /// Returns the answer to a call that names none of them.
    pub fn select<'a, T>(
        &self,
        all: &'a IndexMap<String, T>,
    ) -> Result<IndexMap<&'a String, &'a T>, Reply> {
        let name = self.param("name");
        let named = |key: &String| name.as_ref().is_none_or(|name| name == key);
        let chosen: IndexMap<_, _> = all.iter().filter(|(key, _)| named(key)).collect();
        if chosen.is_empty() {
            return Err(fault(StatusCode::NOT_FOUND, &"no stand-in has this name"));
        }
        Ok(chosen)
    }

    /// Returns a parameter of the query as a number, if it is one.
    #[must_use]
    pub fn number(&self, key: &str) -> Option<u64> {
        self.param(key)?.parse().ok()
    }

    /// Returns a header as text.
    #[must_use]
    pub fn header(&self, key: &str) -> Option<String> {
        let value = self.headers.get(key)?.to_str().ok()?;
        Some(value.to_owned())
    }

    /// Reads the body as JSON; an empty body counts as `{}`.
    ///
    /// # Errors
    ///
    /// Returns the answer with status 400 that says what is wrong.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        let bytes: &[u8] = if self.body.is_empty() {
            b"{}"
        } else {
            &self.body
        };
        serde_json::from_slice(bytes).map_err(|error| fault(StatusCode::BAD_REQUEST, &error))
    }
}

/// Decodes percent signs. Faulty sequences stay as they are.
fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let digits = tail.get(..2).and_then(|two| std::str::from_utf8(two).ok());
        match digits.and_then(|two| u8::from_str_radix(two, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// An answer to a [`Call`].
pub type Reply = Response<BoxBody>;

/// Answers calls.
pub type Handler = Rc<dyn Fn(Call) -> LocalBoxFuture<'static, Reply>>;

/// Returns an answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = Response::new(status).set_body(Bytes::from(bytes).boxed());
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

/// Returns the answer `{"ok":true}`.
#[must_use]
pub fn done() -> Reply {
    json(StatusCode::OK, &serde_json::json!({"ok": true}))
}

/// Returns an answer that says what is wrong with the call.
pub fn fault(status: StatusCode, error: &dyn std::fmt::Display) -> Reply {
    json(status, &serde_json::json!({"error": error.to_string()}))
}

/// Returns the answer for an unknown path.
#[must_use]
pub fn missing(call: &Call) -> Reply {
    let text = format!("no such call: {} {}", call.method, call.path);
    fault(StatusCode::NOT_FOUND, &text)
}

/// Returns a refusal of a call above a rate limit.
#[must_use]
pub fn limited(retry_after_secs: u64) -> Reply {
    let mut reply = fault(StatusCode::TOO_MANY_REQUESTS, &"rate limit exceeded");
    let value = HeaderValue::from(retry_after_secs);
    reply.headers_mut().insert(header::RETRY_AFTER, value);
    reply
}

/// A listener with its connections. Dropping it closes all of them.
pub struct Server {
    address: SocketAddr,
    task: task::JoinHandle<()>,
}

impl Server {
    /// Listens on an address; port 0 chooses a free port.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Bind`] when the address cannot be listened on.
    pub async fn bind(address: SocketAddr, handler: Handler) -> Result<Self, Error> {
        let fault = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(fault)?;
        let address = listener.local_addr().map_err(fault)?;
        let task = actix_rt::spawn(accept(listener, handler));
        Ok(Self { address, task })
    }

    /// Returns the address that is listened on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, and waits until they are closed.
    pub async fn stop(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, handler: Handler) {
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .client_request_timeout(Duration::ZERO)
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .finish(move |request: Request| answer(request, Rc::clone(&handler)))
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    // Aborting this task drops the set, which aborts all connections.
    let mut connections = task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                let stream: TcpStream = stream;
                connections.spawn_local(service.call(stream));
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn answer(mut request: Request, handler: Handler) -> Result<Reply, Infallible> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        match chunk {
            Ok(chunk) if body.len() + chunk.len() <= MAX_BODY_BYTES => {
                body.extend_from_slice(&chunk);
            }
            Ok(_) => return Ok(fault(StatusCode::PAYLOAD_TOO_LARGE, &"body too large")),
            Err(error) => return Ok(fault(StatusCode::BAD_REQUEST, &error)),
        }
    }
    let call = Call {
        method: request.method().clone(),
        path: decode(request.path()),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: request.headers().clone(),
        body: body.freeze(),
    };
    Ok(handler(call).await)
}

/// Waits for a time, or forever.
async fn pause(time: Option<Duration>) {
    match time {
        Some(time) => actix_rt::time::sleep(time).await,
        None => std::future::pending().await,
    }
}

/// Lets a stand-in close its own listener for a time.
#[derive(Debug, Default)]
pub struct Outage {
    notify: Notify,
    over: Notify,
    down: Cell<Option<Duration>>,
}

impl Outage {
    /// Closes the listener and all connections; they come back after `down`, or at
    /// [`Outage::end`].
    pub fn begin(&self, down: Option<Duration>) {
        self.down.set(down);
        self.notify.notify_one();
    }

    /// Ends an outage early.
    pub fn end(&self) {
        self.over.notify_waiters();
    }

    /// Restarts `server` after each outage, forever.
    pub async fn supervise(self: Rc<Self>, mut server: Server, handler: Handler) {
        loop {
            self.notify.notified().await;
            let address = server.address();
            server.stop().await;
            tokio::select! {
                () = self.over.notified() => {}
                () = pause(self.down.get()) => {}
            }
            server = loop {
                match Server::bind(address, Rc::clone(&handler)).await {
                    Ok(server) => break server,
                    Err(error) => {
                        log::warn!("{error}; trying again");
                        actix_rt::time::sleep(Duration::from_millis(20)).await;
                    }
                }
            };
        }
    }
}
