//! The HTTP server that the stand-ins share.
//!
//! A [`Server`] reads each request completely and passes it to a handler. Stopping it closes the
//! listener and all connections immediately, as the crash of a process would.

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

/// Maximum size of a request body in bytes. The configuration service stores values of up to 1 MB.
pub const MAX_BODY_BYTES: usize = 2_000_000;

/// Idle time after which the server closes a connection. It is longer than the idle time after
/// which clients close their pooled connections, so a client never sends a call on a connection
/// that the server is closing.
const KEEP_ALIVE: Duration = Duration::from_secs(300);

/// An error of the HTTP server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be bound.
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
    /// Returns a query parameter, percent-decoded.
    #[must_use]
    pub fn param(&self, key: &str) -> Option<String> {
        self.query.split('&').find_map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (name == key).then(|| percent_decode(value))
        })
    }

    /// Returns the stand-in named by the query parameter `name`, or all of them without it.
    ///
    /// # Errors
    ///
    /// Returns a response with status 404 if no stand-in has this name.
    pub fn select<'a, T>(
        &self,
        all: &'a IndexMap<String, T>,
    ) -> Result<IndexMap<&'a String, &'a T>, HttpResponse> {
        let name = self.param("name");
        let matches = |key: &String| name.as_ref().is_none_or(|name| name == key);
        let chosen: IndexMap<_, _> = all.iter().filter(|(key, _)| matches(key)).collect();
        if chosen.is_empty() {
            return Err(error_response(
                StatusCode::NOT_FOUND,
                &"no stand-in has this name",
            ));
        }
        Ok(chosen)
    }

    /// Returns a query parameter if it is a number.
    #[must_use]
    pub fn number(&self, key: &str) -> Option<u64> {
        self.param(key)?.parse().ok()
    }

    /// Returns a header if it is valid text.
    #[must_use]
    pub fn header(&self, key: &str) -> Option<String> {
        let value = self.headers.get(key)?.to_str().ok()?;
        Some(value.to_owned())
    }

    /// Parses the body as JSON; an empty body counts as `{}`.
    ///
    /// # Errors
    ///
    /// Returns a response with status 400 that contains the parse error.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpResponse> {
        let bytes: &[u8] = if self.body.is_empty() {
            b"{}"
        } else {
            &self.body
        };
        serde_json::from_slice(bytes)
            .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error))
    }
}

/// Percent-decodes a text. Invalid sequences are left as they are.
fn percent_decode(text: &str) -> String {
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

/// The response to a [`Call`].
pub type HttpResponse = Response<BoxBody>;

/// A function that responds to calls.
pub type Handler = Rc<dyn Fn(Call) -> LocalBoxFuture<'static, HttpResponse>>;

/// Returns a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> HttpResponse {
    json_text(status, serde_json::to_vec(body).unwrap_or_default())
}

/// Returns a response with a body that is JSON text.
pub fn json_text(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(status).set_body(body.into().boxed());
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Returns the response `{"ok":true}`.
#[must_use]
pub fn ok() -> HttpResponse {
    json(StatusCode::OK, &serde_json::json!({"ok": true}))
}

/// Returns a response with an error message in its JSON body.
pub fn error_response(status: StatusCode, error: &dyn std::fmt::Display) -> HttpResponse {
    json(status, &serde_json::json!({"error": error.to_string()}))
}

/// Returns the response to a call of an unknown path or method.
#[must_use]
pub fn not_found(call: &Call) -> HttpResponse {
    let text = format!("no such call: {} {}", call.method, call.path);
    error_response(StatusCode::NOT_FOUND, &text)
}

/// Returns the response with status 429 to a call above a rate limit.
#[must_use]
pub fn rate_limited(retry_after_secs: u64) -> HttpResponse {
    let mut response = error_response(StatusCode::TOO_MANY_REQUESTS, &"rate limit exceeded");
    let value = HeaderValue::from(retry_after_secs);
    response.headers_mut().insert(header::RETRY_AFTER, value);
    response
}

/// A listener with its connections. Dropping it closes the listener and all connections.
pub struct Server {
    address: SocketAddr,
    task: task::JoinHandle<()>,
}

impl Server {
    /// Listens on an address; port 0 chooses a free port.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Bind`] if the address cannot be bound.
    pub async fn bind(address: SocketAddr, handler: Handler) -> Result<Self, Error> {
        let bind_error = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let task = actix_rt::spawn(accept(listener, handler));
        Ok(Self { address, task })
    }

    /// Returns the address of the listener.
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
        .finish(move |request: Request| respond(request, Rc::clone(&handler)))
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    // Aborting this task drops the set, which closes all connections.
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

async fn respond(mut request: Request, handler: Handler) -> Result<HttpResponse, Infallible> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        match chunk {
            Ok(chunk) if body.len() + chunk.len() <= MAX_BODY_BYTES => {
                body.extend_from_slice(&chunk);
            }
            Ok(_) => {
                return Ok(error_response(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    &"body too large",
                ))
            }
            Err(error) => return Ok(error_response(StatusCode::BAD_REQUEST, &error)),
        }
    }
    let call = Call {
        method: request.method().clone(),
        path: percent_decode(request.path()),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: request.headers().clone(),
        body: body.freeze(),
    };
    Ok(handler(call).await)
}

/// Waits for a time, or forever without one.
async fn sleep_or_wait_forever(time: Option<Duration>) {
    match time {
        Some(time) => actix_rt::time::sleep(time).await,
        None => std::future::pending().await,
    }
}

/// Takes the listener of a stand-in down for a time.
#[derive(Debug, Default)]
pub struct Outage {
    begun: Notify,
    ended: Notify,
    duration: Cell<Option<Duration>>,
}

impl Outage {
    /// Closes the listener and all connections. The listener is opened again after `duration`, or
    /// at [`Outage::end`].
    pub fn begin(&self, duration: Option<Duration>) {
        self.duration.set(duration);
        self.begun.notify_one();
    }

    /// Ends an outage early.
    pub fn end(&self) {
        self.ended.notify_waiters();
    }

    /// Stops `server` at the start of each outage and restarts it at the end, forever.
    pub async fn supervise(self: Rc<Self>, mut server: Server, handler: Handler) {
        loop {
            self.begun.notified().await;
            let address = server.address();
            server.stop().await;
            tokio::select! {
                () = self.ended.notified() => {}
                () = sleep_or_wait_forever(self.duration.get()) => {}
            }
            server = loop {
                match Server::bind(address, Rc::clone(&handler)).await {
                    Ok(server) => break server,
                    Err(error) => {
                        log::warn!("{error}; retrying");
                        actix_rt::time::sleep(Duration::from_millis(20)).await;
                    }
                }
            };
        }
    }
}
