//! A caller: locates routers, caches their addresses, sends requests and retries them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use awc::error::SendRequestError;
use bytes::Bytes;
use futures_util::StreamExt as _;
use serde::Deserialize;

use crate::{
    delay,
    history::{Attempt, Event, Outcome, Recorder},
    plan, response,
};

/// Longest time between two chunks of a response body.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
const LOCATE_TIMEOUT: Duration = Duration::from_secs(2);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Delay before a retry when the response names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Delay before a retry when there was no response.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Returns the time in microseconds since 1970.
#[must_use]
pub fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}

/// Address of a router for callers.
#[derive(Clone, Debug)]
pub struct RouterAddress {
    /// Host name.
    pub host: String,
    /// Address for callers.
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
struct LocateResponse {
    addresses: Vec<LocatedRouter>,
    keep_ms: u64,
    #[serde(default)]
    permit: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
struct LocatedRouter {
    host: String,
    address: String,
}

#[derive(Clone, Debug)]
struct CachedLocation {
    response: LocateResponse,
    expires_at: Instant,
}

#[derive(Default, Deserialize)]
struct ErrorBody {
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    code: String,
    #[serde(default)]
    message: String,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// An operation that a caller wants to carry out.
#[derive(Clone, Debug)]
pub struct Call {
    /// The team.
    pub team: plan::Team,
    /// Index of the router that the caller asks for addresses and prefers for its requests.
    pub entry_router: usize,
    /// Tokens to generate; 0 for a booking.
    pub tokens: u64,
    /// Cost hint in tokens, which may be wrong.
    pub cost_hint: u64,
    /// Time for all attempts, also sent as the deadline of each attempt.
    pub deadline: Duration,
}

impl Call {
    const fn is_booking(&self) -> bool {
        self.tokens == 0
    }
}

/// How an attempt ended and when to retry it.
struct AttemptEnd {
    outcome: Outcome,
    retry_after: Option<Duration>,
    router_draining: bool,
}

struct Shared {
    http: awc::Client,
    timer: delay::Timer,
    recorder: Recorder,
    routers: Vec<RouterAddress>,
    model: String,
    booking: String,
    /// Locations by entry router, service and team, because a permit is valid for one team only.
    locations: RefCell<HashMap<(usize, String, String), CachedLocation>>,
    operations: Cell<u64>,
}

/// Sends requests on behalf of all teams. Clones share connections and history.
#[derive(Clone)]
pub struct Client {
    shared: Rc<Shared>,
}

impl Client {
    /// Returns a client that sends its locate requests to `routers`.
    #[must_use]
    pub fn new(
        plan: &plan::FleetPlan,
        routers: Vec<RouterAddress>,
        timer: delay::Timer,
        recorder: Recorder,
    ) -> Self {
        let connector = awc::Connector::new().limit(0);
        let http = awc::Client::builder()
            .connector(connector.timeout(Duration::from_secs(2)))
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self {
            shared: Rc::new(Shared {
                http,
                timer,
                recorder,
                routers,
                model: plan.model.clone(),
                booking: plan.booking.clone(),
                locations: RefCell::default(),
                operations: Cell::new(0),
            }),
        }
    }

    /// Returns the recorder of the history.
    #[must_use]
    pub fn recorder(&self) -> &Recorder {
        &self.shared.recorder
    }

    /// Returns the number of operations started so far.
    #[must_use]
    pub fn operations(&self) -> usize {
        usize::try_from(self.shared.operations.get()).unwrap_or(usize::MAX)
    }

    /// Carries out an operation and returns the outcome of its last attempt.
    ///
    /// It is retried until it is complete or its deadline passes. A booking of unknown outcome is
    /// not retried.
    pub async fn run(&self, call: &Call) -> Outcome {
        let shared = &self.shared;
        let operation = shared.operations.get() + 1;
        shared.operations.set(operation);
        shared.recorder.record(Event::Begin {
            operation,
            team: call.team.name.clone(),
            time_us: now_us(),
        });
        let give_up_at = Instant::now() + call.deadline;
        let mut key = None;
        let mut entry_router = call.entry_router;
        let mut number = 0;
        loop {
            number += 1;
            let id = format!("{operation}-{number}");
            let ended = self
                .attempt(operation, &id, call, entry_router, &mut key)
                .await;
            let Some(ended) = ended else {
                // Nothing was sent, because the entry router gave no address or permit.
                if Instant::now() >= give_up_at {
                    return Outcome::Unsent;
                }
                entry_router += 1;
                shared.timer.sleep(RECONNECT_DELAY).await;
                continue;
            };
            match ended.outcome {
                Outcome::Complete => return ended.outcome,
                Outcome::Unknown if call.is_booking() => return ended.outcome,
                Outcome::NotRun => {
                    key = None;
                    // The permit may have been refused, and a draining router takes no more
                    // requests.
                    if call.is_booking() || ended.router_draining {
                        self.remove_cached(entry_router);
                    }
                    if ended.router_draining {
                        entry_router += 1;
                    }
                }
                Outcome::Unsent | Outcome::None => {
                    self.remove_cached(entry_router);
                    entry_router += 1;
                }
                Outcome::Cut | Outcome::Unknown => {}
            }
            let pause = ended.retry_after.unwrap_or(RECONNECT_DELAY);
            if Instant::now() + pause >= give_up_at {
                return ended.outcome;
            }
            shared.timer.sleep(pause).await;
        }
    }

    /// Removes the cached locations that a router returned.
    fn remove_cached(&self, entry_router: usize) {
        let entry_router = entry_router % self.shared.routers.len();
        let mut locations = self.shared.locations.borrow_mut();
        locations.retain(|(router, _, _), _| *router != entry_router);
    }

    /// Returns the routers to connect to, from the cache or by a locate request to `entry_router`.
    async fn locate(
        &self,
        entry_router: usize,
        service: &str,
        team: &plan::Team,
    ) -> Option<LocateResponse> {
        let shared = &self.shared;
        let entry_router = entry_router % shared.routers.len();
        let cache_key = (entry_router, service.to_owned(), team.name.clone());
        if let Some(cached) = shared.locations.borrow().get(&cache_key) {
            if cached.expires_at > Instant::now() {
                return Some(cached.response.clone());
            }
        }
        let address = shared.routers[entry_router].address;
        shared.timer.sleep(plan::CLIENT_DELAY).await;
        let fetch = async {
            let url = format!("http://{address}/v1/locate?service={service}");
            let request = shared.http.get(url);
            let request =
                request.insert_header(("authorization", format!("Bearer {}", team.token)));
            let mut response = request.send().await.ok()?;
            let body = response.body().await.ok()?;
            serde_json::from_slice::<LocateResponse>(&body).ok()
        };
        let located = tokio::time::timeout(LOCATE_TIMEOUT, fetch).await.ok()??;
        shared.timer.sleep(plan::CLIENT_DELAY).await;
        if located.addresses.is_empty() {
            return None;
        }
        let cached = CachedLocation {
            expires_at: Instant::now() + Duration::from_millis(located.keep_ms),
            response: located.clone(),
        };
        // A booking needs a permit, so that a response without one is not cached for it.
        if cached.response.permit.is_some() || service == shared.model {
            shared.locations.borrow_mut().insert(cache_key, cached);
        }
        Some(located)
    }

    async fn attempt(
        &self,
        operation: u64,
        id: &str,
        call: &Call,
        entry_router: usize,
        key: &mut Option<String>,
    ) -> Option<AttemptEnd> {
        let shared = &self.shared;
        let service = if call.is_booking() {
            &shared.booking
        } else {
            &shared.model
        };
        let located = self.locate(entry_router, service, &call.team).await?;
        let preferred = &shared.routers[entry_router % shared.routers.len()].host;
        let routers = &located.addresses;
        let router = routers.iter().find(|router| router.host == *preferred);
        let router = router.unwrap_or(&routers[0]);
        if call.is_booking() && key.is_none() {
            // A draining router issues no permit; the caller then asks the next router.
            *key = Some(format!("{}.{id}", located.permit?));
        }
        let mut attempt = Attempt {
            operation,
            id: id.to_owned(),
            team: call.team.name.clone(),
            service: service.clone(),
            repeatable: !call.is_booking(),
            key: key.clone().unwrap_or_default(),
            router: router.host.clone(),
            asked: call.tokens,
            sent_us: now_us(),
            first_us: 0,
            ended_us: 0,
            outcome: Outcome::None,
            status: 0,
            reason: String::new(),
            tokens: 0,
            intact: true,
        };
        shared.timer.sleep(plan::CLIENT_DELAY).await;
        let retry_after = self.exchange(&mut attempt, call, &router.address).await;
        shared.timer.sleep(plan::CLIENT_DELAY).await;
        attempt.ended_us = now_us();
        let ended = AttemptEnd {
            outcome: attempt.outcome,
            retry_after,
            router_draining: attempt.status == 503,
        };
        shared.recorder.record(Event::Attempt(attempt));
        Some(ended)
    }

    async fn exchange(
        &self,
        attempt: &mut Attempt,
        call: &Call,
        address: &str,
    ) -> Option<Duration> {
        let prompt = format!(
            "{} of {} for {}",
            attempt.id, attempt.operation, call.team.name
        );
        let body = if call.is_booking() {
            // All attempts send the same body, because a key may only be reused for the same
            // request.
            let item = format!("{} for {}", attempt.operation, call.team.name);
            serde_json::json!({"item": item})
        } else {
            serde_json::json!({"prompt": prompt, "max_tokens": call.tokens})
        };
        let url = format!("http://{address}/v1/call/{}", attempt.service);
        let token = format!("Bearer {}", call.team.token);
        let deadline_ms = call.deadline.as_millis().to_string();
        let mut request = self.shared.http.post(url);
        request = request
            .insert_header(("authorization", token))
            .insert_header(("content-type", "application/json"))
            .insert_header(("toucan-deadline-ms", deadline_ms))
            .insert_header(("toucan-cost-hint", call.cost_hint.to_string()))
            .insert_header(("toucan-request-id", attempt.id.as_str()));
        if !attempt.key.is_empty() {
            request = request.insert_header(("toucan-key", attempt.key.as_str()));
        }
        let send = request.send_body(Bytes::from(body.to_string()));
        let timeout = call.deadline + READ_TIMEOUT;
        let mut response = match tokio::time::timeout(timeout, send).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendRequestError::Connect(error))) => {
                attempt.outcome = Outcome::Unsent;
                attempt.reason = error.to_string();
                return None;
            }
            Ok(Err(error)) => {
                attempt.reason = error.to_string();
                return None;
            }
            Err(_) => {
                "timed out waiting for the response".clone_into(&mut attempt.reason);
                return None;
            }
        };
        attempt.first_us = now_us();
        attempt.status = response.status().as_u16();
        let header = |name| response.headers().get(name)?.to_str().ok();
        let outcome = header("toucan-outcome").unwrap_or_default().to_owned();
        let retry_ms = header("toucan-retry-after-ms").and_then(|ms| ms.parse::<u64>().ok());
        if outcome == "stream" {
            let mut reader = response::StreamReader::new(&prompt);
            loop {
                match tokio::time::timeout(READ_TIMEOUT, response.next()).await {
                    Ok(Some(Ok(bytes))) => reader.push(&bytes),
                    Ok(None) => break,
                    Ok(Some(Err(error))) => {
                        attempt.reason = error.to_string();
                        break;
                    }
                    Err(_) => {
                        "the stream sent nothing for too long".clone_into(&mut attempt.reason);
                        break;
                    }
                }
            }
            attempt.outcome = reader.outcome().unwrap_or(Outcome::None);
            attempt.tokens = reader.tokens();
            attempt.intact = reader.intact();
            return None;
        }
        let body = match tokio::time::timeout(READ_TIMEOUT, response.body().limit(4_000_000)).await
        {
            Ok(Ok(body)) => body,
            _ => {
                "cannot read the response body".clone_into(&mut attempt.reason);
                return None;
            }
        };
        let error: ErrorBody = serde_json::from_slice(&body).unwrap_or_default();
        let outcome = if outcome.is_empty() {
            &error.outcome
        } else {
            &outcome
        };
        attempt.outcome = Outcome::parse(outcome).unwrap_or(Outcome::None);
        if attempt.outcome != Outcome::Complete {
            attempt.reason = format!("{} {}", error.code, error.message);
            let after = retry_ms.or(error.retry_after_ms).map(Duration::from_millis);
            let after = after.unwrap_or(DEFAULT_RETRY_AFTER);
            return Some(after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        }
        None
    }
}
