//! HTTP handlers for the interface that callers use.

use std::{convert::Infallible, rc::Rc, sync::Arc};

use actix_http::{
    body::{BodyStream, MessageBody},
    header::{HeaderValue, CACHE_CONTROL, CONTENT_TYPE},
    HttpMessage as _, Request, Response, StatusCode,
};
use bytes::Bytes;
use futures_util::stream;
use tsw_config::service::Kind;
use tsw_event::Event;

use crate::{
    call::{self, Call},
    engine, forward, locate, non_idempotent, plain,
    refusal::Refusal,
    reply::{self, Outcome, Reply},
    router::{InFlightGuard, Router},
    stream::{Failure, Output, Relay},
};

/// Answers a request of a caller.
///
/// # Errors
///
/// Never fails; every error is converted to an HTTP response.
pub async fn handle(router: Rc<Router>, mut request: Request) -> Result<Reply, Infallible> {
    router.last_request.set(router.now());
    let caller_id = call::request_id(request.headers());
    let request_id = match &caller_id {
        Ok(Some(id)) => id.clone(),
        _ => router.new_request_id(),
    };
    let response = match caller_id {
        Err(refusal) => Err(refusal),
        Ok(_) => route(&router, &mut request, &request_id).await,
    };
    let mut response = match response {
        Ok(response) => response,
        Err(refusal) if non_idempotent::has_genuine_key(&router, request.headers()) => {
            unknown_reply(&router, &refusal, &request_id)
        }
        Err(refusal) => {
            router.record_refused_request(&request_id, &refusal);
            refused_reply(&router, &refusal, &request_id)
        }
    };
    if router.is_draining() {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    Ok(response)
}

fn refused_reply(router: &Router, refusal: &Refusal, request_id: &str) -> Reply {
    let mut response = reply::refused(refusal, request_id, None);
    router.sign(&mut response, request_id);
    response
}

/// Answers a refused request whose key was issued by this fleet. The outcome is unknown, because
/// this or another router may have accepted and run another copy of the request.
fn unknown_reply(router: &Router, refusal: &Refusal, request_id: &Arc<str>) -> Reply {
    let (code, message) = (refusal.code(), refusal.to_string());
    router.record_event(
        Event::Unknown,
        request_id,
        &[("code", &code), ("cause", refusal)],
    );
    let fields = [("request", &**request_id), ("code", code)];
    router.audit(Outcome::Unknown.as_str(), request_id, &fields);
    let mut response = reply::failed(Outcome::Unknown, code, &message, request_id);
    router.sign(&mut response, request_id);
    response
}

async fn route(
    router: &Rc<Router>,
    request: &mut Request,
    request_id: &Arc<str>,
) -> Result<Reply, Refusal> {
    if request.path() == "/v1/locate" {
        return locate::handle(router, request);
    }
    if !request.path().starts_with("/v1/call/") {
        return Err(Refusal::Path);
    }
    let arrived = router.now();
    if non_idempotent::has_genuine_key(router, request.headers()) {
        router.wait_until_started(non_idempotent::START_WAIT).await;
    }
    let rules = router.rules().ok_or(Refusal::Starting)?;
    let call = call::read(request, request_id.clone(), arrived, &rules).await?;
    if !call.repeatable {
        return non_idempotent::handle(router, Rc::new(call)).await;
    }
    router.check_accepting()?;
    match call.kind {
        Kind::Model => call_model(router, call).await,
        Kind::Plain => call_plain(router, call).await,
    }
}

async fn call_model(router: &Rc<Router>, call: Call) -> Result<Reply, Refusal> {
    let body = engine::request_body(&call).map_err(Refusal::Body)?;
    let call = Rc::new(call);
    let flight = InFlightGuard::start(router);
    let wait = router.admit(&call)?;
    let mut relay = Relay::new(router.clone(), call.clone(), body, wait, flight);
    let first = match relay.next().await {
        Ok(output) => output,
        // The relay has already logged the refusal and counted the outcome.
        Err(Failure::Refused(refusal)) => {
            return Ok(refused_reply(router, &refusal, &call.request_id));
        }
        Err(Failure::Cut { code, message }) => {
            let mut response = reply::failed(Outcome::Cut, code, &message, &call.request_id);
            router.sign(&mut response, &call.request_id);
            return Ok(response);
        }
    };
    Ok(stream_reply(router, &call, relay, first))
}

fn stream_reply(router: &Router, call: &Call, relay: Relay, first: Output) -> Reply {
    let state = (Some(relay), Some(first));
    let events = stream::unfold(state, |(relay, first)| async move {
        let mut relay = relay?;
        let output = match first {
            Some(output) => output,
            None => relay.next().await.ok()?,
        };
        match output {
            Output::Events(bytes) => Some((Ok::<Bytes, Infallible>(bytes), (Some(relay), None))),
            Output::Last(bytes) => Some((Ok(bytes), (None, None))),
        }
    });
    let body = BodyStream::new(Box::pin(events)).boxed();
    let mut response = Response::new(StatusCode::OK).set_body(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply::set(&mut response, "toucan-outcome", "stream");
    reply::set(&mut response, "toucan-request-id", &call.request_id);
    router.sign(&mut response, &call.request_id);
    response
}

/// Runs a call to an idempotent plain service, retrying on another worker after a failure.
async fn call_plain(router: &Rc<Router>, call: Call) -> Result<Reply, Refusal> {
    let call = Rc::new(call);
    let mut flight = InFlightGuard::start(router);
    let response = attempt_plain(router, &call).await;
    flight.end();
    response
}

async fn attempt_plain(router: &Rc<Router>, call: &Rc<Call>) -> Result<Reply, Refusal> {
    const MAX_ATTEMPTS: u32 = 3;
    let request = forward::Request {
        method: call.method.clone(),
        path: call.path.clone(),
        content_type: call.content_type.clone(),
        request_id: call.request_id.clone(),
        key: None,
        team: call.team.clone(),
        body: call.body.clone(),
    };
    let mut wait = router.admit(call)?;
    let mut may_have_run = false;
    for attempt in 1.. {
        let slot = match router.wait_for_slot(&mut wait, call).await {
            Ok(slot) => slot,
            Err(refusal) if may_have_run => {
                let text = refusal.to_string();
                return Ok(cut_reply(router, call, refusal.code(), &text));
            }
            Err(refusal) => {
                router.record_refusal(call, &refusal);
                return Ok(refused_reply(router, &refusal, &call.request_id));
            }
        };
        let upstream = slot.upstream().clone();
        let running = router.record_dispatch(call, &upstream, 0);
        match plain::send(router, slot, &request, call.deadline).await {
            Ok(response) => {
                running.complete();
                return Ok(non_idempotent::reply_to(router, call, &response));
            }
            Err(error) => {
                may_have_run |= !matches!(error, plain::AttemptError::Unreachable(_));
                router.record_plain_failure(call, &upstream, &error);
                let exhausted =
                    attempt >= MAX_ATTEMPTS || matches!(error, plain::AttemptError::Deadline);
                if exhausted || (may_have_run && !router.allow_retry(call)) {
                    if may_have_run {
                        return Ok(cut_reply(router, call, "upstream", &error.to_string()));
                    }
                    router.record_refusal(call, &Refusal::Unreachable);
                    return Ok(refused_reply(
                        router,
                        &Refusal::Unreachable,
                        &call.request_id,
                    ));
                }
                router.record_retry(call, 0);
                wait = router.enqueue(call, router.class(call), Some(upstream));
            }
        }
    }
    Err(Refusal::Unreachable)
}

fn cut_reply(router: &Router, call: &Call, code: &'static str, message: &str) -> Reply {
    router.record_end(call, Outcome::Cut, Event::Cut, code, message);
    let mut response = reply::failed(Outcome::Cut, code, message, &call.request_id);
    router.sign(&mut response, &call.request_id);
    response
}
