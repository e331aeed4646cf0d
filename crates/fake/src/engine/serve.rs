//! The calls of routers to an engine.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Instant,
};

use actix_http::{
    body::{BodyStream, MessageBody as _},
    header::{self, HeaderName, HeaderValue},
    Method, Response, StatusCode,
};
use bytes::Bytes;
use futures_util::Stream;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::{batch, cache, state, Engine};
use crate::{history, http};

/// First bytes of an exported KV cache.
const KV_MAGIC: &[u8] = b"tswkv1\n";

pub(super) fn handler(engine: Engine) -> http::Handler {
    Rc::new(move |call| {
        let engine = engine.clone();
        Box::pin(async move { route(&engine, &call).unwrap_or_else(|response| response) })
    })
}

fn route(engine: &Engine, call: &http::Call) -> Result<http::HttpResponse, http::HttpResponse> {
    let path = call.path.as_str();
    match (&call.method, path) {
        (&Method::POST, "/v1/generate") => generate(engine, call),
        (&Method::GET, "/v1/load") => {
            let state = engine.state();
            let slots = state.options.timing.slots;
            let report = state.load.report(Instant::now(), slots);
            Ok(http::json(StatusCode::OK, &report))
        }
        (&Method::GET, "/v1/cache-events") => {
            let after = call.number("after").unwrap_or(0);
            let events = engine.state().cache.events(after, Instant::now());
            let next = events.last().map_or(after, |event| event.seq);
            Ok(http::json(StatusCode::OK, &Events { events, next }))
        }
        (&Method::POST, "/v1/orders") => {
            let order: state::Order = call.json()?;
            match engine.order(order) {
                Ok(()) => Ok(http::ok()),
                Err(newer) => {
                    let body = serde_json::json!({"error": "stale fence", "fence": newer});
                    Ok(http::json(StatusCode::CONFLICT, &body))
                }
            }
        }
        (&Method::DELETE, _) => match path.strip_prefix("/v1/generate/") {
            Some(id) => {
                let cancelled = engine.cancel_request(id);
                let body = serde_json::json!({"cancelled": cancelled});
                Ok(http::json(StatusCode::OK, &body))
            }
            None => Err(http::not_found(call)),
        },
        _ => match path.strip_prefix("/v1/kv/") {
            Some(id) => kv(engine, call, id),
            None => Err(http::not_found(call)),
        },
    }
}

#[derive(Deserialize, Serialize)]
struct Events {
    events: Vec<cache::Event>,
    next: u64,
}

fn generate(engine: &Engine, call: &http::Call) -> Result<http::HttpResponse, http::HttpResponse> {
    let body: state::Generate = call.json()?;
    let (number, lines) = engine.submit(body, history::Request::from_headers(call));
    let lines = ResponseLines {
        lines,
        number,
        engine: engine.clone(),
    };
    let mut response = Response::new(StatusCode::OK).set_body(BodyStream::new(lines).boxed());
    let kind = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    let version = engine.state().options.version.clone();
    if let Some(version) = version.and_then(|version| HeaderValue::try_from(version).ok()) {
        let name = HeaderName::from_static("toucan-version");
        response.headers_mut().insert(name, version);
    }
    Ok(response)
}

/// The lines of a response. It is dropped when the caller disconnects, which cancels the execution.
struct ResponseLines {
    lines: mpsc::UnboundedReceiver<batch::LineResult>,
    number: u64,
    engine: Engine,
}

impl Stream for ResponseLines {
    type Item = batch::LineResult;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.lines.poll_recv(context)
    }
}

impl Drop for ResponseLines {
    fn drop(&mut self) {
        self.engine.cancel(self.number);
    }
}

fn kv(
    engine: &Engine,
    call: &http::Call,
    id: &str,
) -> Result<http::HttpResponse, http::HttpResponse> {
    if call.method == Method::GET {
        let Some(kv) = engine.state().export_kv(id) else {
            return Err(http::error_response(
                StatusCode::NOT_FOUND,
                &"no such request",
            ));
        };
        let mut bytes = KV_MAGIC.to_vec();
        bytes.extend(serde_json::to_vec(&kv).unwrap_or_default());
        return Ok(Response::new(StatusCode::OK).set_body(Bytes::from(bytes).boxed()));
    }
    if call.method != Method::PUT {
        return Err(http::not_found(call));
    }
    let bytes = call.body.strip_prefix(KV_MAGIC);
    match bytes.and_then(|bytes| serde_json::from_slice(bytes).ok()) {
        Some(kv) => {
            engine.state().import_kv(id.to_owned(), kv);
            Ok(http::ok())
        }
        None => Err(http::error_response(
            StatusCode::BAD_REQUEST,
            &"not exported KV cache",
        )),
    }
}
