//! Non-idempotent calls: submission to the key tables and execution by the owner of the key.

use std::{rc::Rc, time::Duration};

use actix_http::{
    header::{HeaderMap, HeaderValue, CONTENT_TYPE},
    Response, StatusCode,
};
use actix_rt::time;
use tsw_base::time::Span;
use tsw_event::Event;
use tsw_once::{End, Key, Reply as Answer, Run};

use crate::{
    call::Call,
    plain,
    refusal::Refusal,
    reply::{self, Outcome, Reply},
    router::{InFlightGuard, Phase, Router},
    tables::OwnedCall,
};

/// Time after the deadline of a call in which the key tables may still report its outcome.
const OUTCOME_GRACE: Span = Span::from_millis(2_000);
/// Longest time that a call with a key waits for a starting router to become ready.
pub const START_WAIT: Duration = Duration::from_secs(3);
/// Maximum number of attempts when connections fail.
const MAX_ATTEMPTS: u32 = 20;

/// Answers a non-idempotent call.
///
/// Once the key has been verified, only the key tables may report "not run", because another copy
/// of the call may run elsewhere.
///
/// # Errors
///
/// Returns the refusal of a call that cannot have run under its key.
pub async fn handle(router: &Rc<Router>, call: Rc<Call>) -> Result<Reply, Refusal> {
    let key = match verified_key(router, &call) {
        Ok(key) => key,
        Err(refusal) => {
            router.record_refusal(&call, &refusal);
            let permit = router.permit(&call.team, &call.service);
            let mut response = reply::refused(&refusal, &call.request_id, permit.as_deref());
            router.sign(&mut response, &call.request_id);
            return Ok(response);
        }
    };
    let _flight = InFlightGuard::start(router);
    if !router.wait_until_started(START_WAIT).await {
        return Ok(unknown_reply(router, &call, "starting"));
    }
    let receiver = router.submit(key, &call);
    let time_left = (call.deadline + OUTCOME_GRACE)
        .since(router.now())
        .as_duration();
    match time::timeout(time_left, receiver).await {
        Ok(Ok(Answer::Final(response))) => Ok(reply_to(router, &call, &response)),
        Ok(Ok(Answer::Conflict)) => {
            router.record_refusal(&call, &Refusal::KeyConflict);
            let mut response = reply::refused(&Refusal::KeyConflict, &call.request_id, None);
            router.sign(&mut response, &call.request_id);
            Ok(response)
        }
        _ => Ok(unknown_reply(router, &call, "deadline")),
    }
}

/// Returns whether a request carries a key issued by this fleet, for any team and service.
#[must_use]
pub fn has_genuine_key(router: &Router, headers: &HeaderMap) -> bool {
    let key = headers.get("toucan-key");
    let key = key.and_then(|value| value.to_str().ok()?.parse::<Key>().ok());
    key.is_some_and(|key| {
        let permit = &key.permit;
        let verified = router.read_state(|state| {
            state
                .control
                .tables
                .verify(&key, &permit.team, &permit.service)
        });
        verified.is_ok()
    })
}

fn verified_key(router: &Router, call: &Call) -> Result<Key, Refusal> {
    let text = call.key.as_ref().ok_or(Refusal::KeyMissing)?;
    let key: Key = text
        .parse()
        .map_err(|error: tsw_once::permit::Error| Refusal::Key(error.to_string()))?;
    router
        .read_state(|state| state.control.tables.verify(&key, &call.team, &call.service))
        .map_err(|error| Refusal::Key(error.to_string()))?;
    Ok(key)
}

fn unknown_reply(router: &Router, call: &Call, code: &str) -> Reply {
    router.record_end(call, Outcome::Unknown, Event::Unknown, code, "");
    let message = "the call may have been run; ask again with the same key";
    let mut response = reply::failed(Outcome::Unknown, code, message, &call.request_id);
    router.sign(&mut response, &call.request_id);
    response
}

/// Converts a final response to the HTTP response for the caller.
pub fn reply_to(router: &Router, call: &Call, final_response: &tsw_once::Response) -> Reply {
    match final_response.end {
        End::Unknown => return unknown_reply(router, call, &final_response.code),
        End::NotRun => {
            let refusal = Refusal::Sealed(final_response.code.to_string());
            router.record_refusal(call, &refusal);
            let permit = (!call.repeatable)
                .then(|| router.permit(&call.team, &call.service))
                .flatten();
            let mut response = reply::refused(&refusal, &call.request_id, permit.as_deref());
            router.sign(&mut response, &call.request_id);
            return response;
        }
        End::Complete => {}
    }
    router.record_end(call, Outcome::Complete, Event::Completed, "", "");
    let status = StatusCode::from_u16(final_response.status).unwrap_or(StatusCode::OK);
    let mut response =
        Response::with_body(status, final_response.body.to_vec()).map_into_boxed_body();
    if let Ok(value) = HeaderValue::from_str(&final_response.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    reply::set(&mut response, "toucan-outcome", Outcome::Complete.as_str());
    reply::set(&mut response, "toucan-request-id", &call.request_id);
    router.sign(&mut response, &call.request_id);
    response
}

/// Runs a call as the owner of its key. The run continues if the caller disconnects.
pub async fn run(router: Rc<Router>, run: Run) {
    let _flight = InFlightGuard::start(&router);
    let owned = router.read_state(|state| state.control.tables.owned_call(&run));
    let response = match owned {
        Some(owned) => execute(&router, &owned).await,
        None => tsw_once::Response::not_run("request-missing"),
    };
    router.update_state(|state, now| {
        let (mut turn, control) = state.split(now);
        control.tables.record_response(&mut turn, run, response);
    });
}

async fn execute(router: &Rc<Router>, owned: &OwnedCall) -> tsw_once::Response {
    let call = call_from(router, owned);
    let mut wait = match router.admit(&call) {
        Ok(wait) => wait,
        Err(refusal) => return tsw_once::Response::not_run(refusal.code()),
    };
    for _ in 0..MAX_ATTEMPTS {
        let slot = match router.wait_for_slot(&mut wait, &call).await {
            Ok(slot) => slot,
            Err(refusal) => return tsw_once::Response::not_run(refusal.code()),
        };
        let upstream = slot.upstream().clone();
        let running = router.record_dispatch(&call, &upstream, 0);
        match plain::send(router, slot, &owned.request, owned.deadline).await {
            Ok(response) => {
                running.complete();
                return response;
            }
            Err(error) => {
                router.record_plain_failure(&call, &upstream, &error);
                match error {
                    // No byte reached the worker, so it is safe to retry on another one.
                    plain::AttemptError::Unreachable(_) => {
                        wait = router.enqueue(&call, router.class(&call), Some(upstream));
                    }
                    plain::AttemptError::Broken(_) => {
                        return tsw_once::Response::unknown("upstream")
                    }
                    plain::AttemptError::Deadline => {
                        return tsw_once::Response::unknown("deadline")
                    }
                }
            }
        }
    }
    tsw_once::Response::not_run("unreachable")
}

fn call_from(router: &Router, owned: &OwnedCall) -> Rc<Call> {
    let request = &owned.request;
    Rc::new(Call {
        request_id: request.request_id.clone(),
        team: request.team.clone(),
        service: owned.service.clone(),
        kind: tsw_config::service::Kind::Plain,
        repeatable: false,
        cost_hint: owned.cost_hint,
        short: true,
        arrived: router.now(),
        deadline: owned.deadline,
        method: request.method.clone(),
        path: request.path.clone(),
        content_type: request.content_type.clone(),
        key: request.key.clone(),
        body: request.body.clone(),
        on_trial: std::cell::Cell::default(),
    })
}

impl Router {
    /// Waits up to `limit` for the router to load its bundle and host list. Returns whether it did.
    pub async fn wait_until_started(&self, limit: Duration) -> bool {
        const POLL: Duration = Duration::from_millis(50);
        let waiting = async {
            while self.phase() == Phase::Starting {
                time::sleep(POLL).await;
            }
        };
        time::timeout(limit, waiting).await.is_ok()
    }

    fn submit(&self, key: Key, call: &Call) -> tokio::sync::oneshot::Receiver<Answer> {
        self.update_state(|state, now| {
            let (mut turn, control) = state.split(now);
            control.tables.call(&mut turn, key, call)
        })
    }

    /// Issues a permit in text form, or `None` if the router is not ready.
    #[must_use]
    pub fn permit(
        &self,
        team: &tsw_base::name::Team,
        service: &tsw_base::name::Service,
    ) -> Option<String> {
        if self.phase() != Phase::Ready {
            return None;
        }
        let issued = self.update_state(|state, now| {
            state.control.tables.issue(&state.board, now, team, service)
        });
        Some(issued.to_string())
    }
}
