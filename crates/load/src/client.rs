//! A caller: asks where to connect, keeps the answer, sends calls and sends them again when needed.

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
    answer, delay,
    history::{Attempt, Event, Outcome, Recorder},
    plan,
};

/// Longest time between two parts of an answer.
const SILENCE_LIMIT: Duration = Duration::from_secs(20);
const LOCATE_LIMIT: Duration = Duration::from_secs(2);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
const RECONNECT_AFTER: Duration = Duration::from_millis(50);

/// Returns the time in microseconds since 1970.
#[must_use]
pub fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}

/// A router as callers reach it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Host name.
    pub host: String,
    /// Address for callers.
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
struct Located {
    addresses: Vec<Place>,
    keep_ms: u64,
    #[serde(default)]
    permit: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
struct Place {
    host: String,
    address: String,
}

#[derive(Clone, Debug)]
struct Cached {
    located: Located,
    until: Instant,
}

#[derive(Default, Deserialize)]
struct Refusal {
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    code: String,
    #[serde(default)]
    message: String,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// What a caller wants done.
#[derive(Clone, Debug)]
pub struct Call {
    /// The team.
    pub team: plan::Team,
    /// Index of the router that the caller prefers.
    pub origin: usize,
    /// Tokens to generate; 0 for a booking.
    pub tokens: u64,
    /// Hint of the cost in tokens, which may be wrong.
    pub hint: u64,
    /// Time after which the caller gives up sending again.
    pub patience: Duration,
}

impl Call {
    const fn booking(&self) -> bool {
        self.tokens == 0
    }
}

/// How a call ended and when to send it again.
struct Ended {
    outcome: Outcome,
    retry_after: Option<Duration>,
    stopping: bool,
}

struct Shared {
    http: awc::Client,
    clock: delay::Clock,
    recorder: Recorder,
    entries: Vec<Entry>,
    model: String,
    booking: String,
    /// Answers by router, service and team; a permit is for one team.
    cached: RefCell<HashMap<(usize, String, String), Cached>>,
    operations: Cell<u64>,
}

/// Sends calls on behalf of all teams. Clones share connections and history.
#[derive(Clone)]
pub struct Client {
    shared: Rc<Shared>,
}

impl Client {
    /// Returns a client that knows the caller addresses of `entries`.
    #[must_use]
    pub fn new(
        fleet: &plan::Fleet,
        entries: Vec<Entry>,
        clock: delay::Clock,
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
                clock,
                recorder,
                entries,
                model: fleet.model.clone(),
                booking: fleet.booking.clone(),
                cached: RefCell::default(),
                operations: Cell::new(0),
            }),
        }
    }

    /// Returns the recorder of the history.
    #[must_use]
    pub fn recorder(&self) -> &Recorder {
        &self.shared.recorder
    }

    /// Returns the number of operations begun so far.
    #[must_use]
    pub fn operations(&self) -> usize {
        usize::try_from(self.shared.operations.get()).unwrap_or(usize::MAX)
    }

    /// Carries out an operation, sending it again as often as needed and allowed.
    pub async fn run(&self, call: &Call) -> Outcome {
        let shared = &self.shared;
        let operation = shared.operations.get() + 1;
        shared.operations.set(operation);
        shared.recorder.record(Event::Begin {
            operation,
            team: call.team.name.clone(),
            time_us: now_us(),
        });
        let until = Instant::now() + call.patience;
        let mut key = None;
        let mut origin = call.origin;
        let mut number = 0;
        loop {
            number += 1;
            let id = format!("{operation}-{number}");
            let ended = self.attempt(operation, &id, call, origin, &mut key).await;
            let Some(ended) = ended else {
                // Nothing was sent: no router says where to connect.
                if Instant::now() >= until {
                    return Outcome::Unsent;
                }
                origin += 1;
                shared.clock.sleep(RECONNECT_AFTER).await;
                continue;
            };
            match ended.outcome {
                Outcome::Complete => return ended.outcome,
                Outcome::Unknown if call.booking() => return ended.outcome,
                Outcome::NotRun => {
                    key = None;
                    // The permit may be the reason, and a router that stops is not to be asked again.
                    if call.booking() || ended.stopping {
                        self.forget(origin);
                    }
                    if ended.stopping {
                        origin += 1;
                    }
                }
                Outcome::Unsent | Outcome::None => {
                    self.forget(origin);
                    origin += 1;
                }
                Outcome::Cut | Outcome::Unknown => {}
            }
            let pause = ended.retry_after.unwrap_or(RECONNECT_AFTER);
            if Instant::now() + pause >= until {
                return ended.outcome;
            }
            shared.clock.sleep(pause).await;
        }
    }

    fn forget(&self, origin: usize) {
        let origin = origin % self.shared.entries.len();
        let mut cached = self.shared.cached.borrow_mut();
        cached.retain(|(from, _, _), _| *from != origin);
    }

    /// Returns the cached answer of a router to "where to connect", or asks it.
    async fn locate(&self, origin: usize, service: &str, team: &plan::Team) -> Option<Located> {
        let shared = &self.shared;
        let origin = origin % shared.entries.len();
        let slot = (origin, service.to_owned(), team.name.clone());
        if let Some(cached) = shared.cached.borrow().get(&slot) {
            if cached.until > Instant::now() {
                return Some(cached.located.clone());
            }
        }
        let address = shared.entries[origin].address;
        shared.clock.sleep(plan::CLIENT_DELAY).await;
        let ask = async {
            let url = format!("http://{address}/v1/locate?service={service}");
            let request = shared.http.get(url);
            let request =
                request.insert_header(("authorization", format!("Bearer {}", team.token)));
            let mut reply = request.send().await.ok()?;
            let body = reply.body().await.ok()?;
            serde_json::from_slice::<Located>(&body).ok()
        };
        let located = tokio::time::timeout(LOCATE_LIMIT, ask).await.ok()??;
        shared.clock.sleep(plan::CLIENT_DELAY).await;
        if located.addresses.is_empty() {
            return None;
        }
        let cached = Cached {
            until: Instant::now() + Duration::from_millis(located.keep_ms),
            located: located.clone(),
        };
        // An answer without a permit is of no use for a booking.
        if cached.located.permit.is_some() || service == shared.model {
            shared.cached.borrow_mut().insert(slot, cached);
        }
        Some(located)
    }

    async fn attempt(
        &self,
        operation: u64,
        id: &str,
        call: &Call,
        origin: usize,
        key: &mut Option<String>,
    ) -> Option<Ended> {
        let shared = &self.shared;
        let service = if call.booking() {
            &shared.booking
        } else {
            &shared.model
        };
        let located = self.locate(origin, service, &call.team).await?;
        let preferred = &shared.entries[origin % shared.entries.len()].host;
        let places = &located.addresses;
        let place = places.iter().find(|place| place.host == *preferred);
        let place = place.unwrap_or(&places[0]);
        if call.booking() && key.is_none() {
            // A router that stops gives no permit; the caller asks the next one.
            *key = Some(format!("{}.{id}", located.permit?));
        }
        let mut attempt = Attempt {
            operation,
            id: id.to_owned(),
            team: call.team.name.clone(),
            service: service.clone(),
            repeatable: !call.booking(),
            key: key.clone().unwrap_or_default(),
            router: place.host.clone(),
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
        shared.clock.sleep(plan::CLIENT_DELAY).await;
        let retry_after = self.exchange(&mut attempt, call, &place.address).await;
        shared.clock.sleep(plan::CLIENT_DELAY).await;
        attempt.ended_us = now_us();
        let ended = Ended {
            outcome: attempt.outcome,
            retry_after,
            stopping: attempt.status == 503,
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
        let body = if call.booking() {
            // The same for all attempts of an operation, as a key stands for one request.
            let item = format!("{} for {}", attempt.operation, call.team.name);
            serde_json::json!({"item": item})
        } else {
            serde_json::json!({"prompt": prompt, "max_tokens": call.tokens})
        };
        let url = format!("http://{address}/v1/call/{}", attempt.service);
        let token = format!("Bearer {}", call.team.token);
        let deadline = call.patience.as_millis().to_string();
        let mut request = self.shared.http.post(url);
        request = request
            .insert_header(("authorization", token))
            .insert_header(("content-type", "application/json"))
            .insert_header(("toucan-deadline-ms", deadline))
            .insert_header(("toucan-cost-hint", call.hint.to_string()))
            .insert_header(("toucan-request-id", attempt.id.as_str()));
        if !attempt.key.is_empty() {
            request = request.insert_header(("toucan-key", attempt.key.as_str()));
        }
        let send = request.send_body(Bytes::from(body.to_string()));
        let limit = call.patience + SILENCE_LIMIT;
        let mut reply = match tokio::time::timeout(limit, send).await {
            Ok(Ok(reply)) => reply,
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
                "no response".clone_into(&mut attempt.reason);
                return None;
            }
        };
        attempt.first_us = now_us();
        attempt.status = reply.status().as_u16();
        let header = |name| reply.headers().get(name)?.to_str().ok();
        let outcome = header("toucan-outcome").unwrap_or_default().to_owned();
        let retry_ms = header("toucan-retry-after-ms").and_then(|ms| ms.parse::<u64>().ok());
        if outcome == "stream" {
            let mut reader = answer::Reader::new(&prompt);
            loop {
                match tokio::time::timeout(SILENCE_LIMIT, reply.next()).await {
                    Ok(Some(Ok(bytes))) => reader.push(&bytes),
                    Ok(None) => break,
                    Ok(Some(Err(error))) => {
                        attempt.reason = error.to_string();
                        break;
                    }
                    Err(_) => {
                        "the stream is silent".clone_into(&mut attempt.reason);
                        break;
                    }
                }
            }
            attempt.outcome = reader.outcome().unwrap_or(Outcome::None);
            attempt.tokens = reader.tokens();
            attempt.intact = reader.intact();
            return None;
        }
        let body = match tokio::time::timeout(SILENCE_LIMIT, reply.body().limit(4_000_000)).await {
            Ok(Ok(body)) => body,
            _ => {
                "the answer broke off".clone_into(&mut attempt.reason);
                return None;
            }
        };
        let refusal: Refusal = serde_json::from_slice(&body).unwrap_or_default();
        let named = if outcome.is_empty() {
            &refusal.outcome
        } else {
            &outcome
        };
        attempt.outcome = Outcome::parse(named).unwrap_or(Outcome::None);
        if attempt.outcome != Outcome::Complete {
            attempt.reason = format!("{} {}", refusal.code, refusal.message);
            let after = retry_ms
                .or(refusal.retry_after_ms)
                .map(Duration::from_millis);
            let after = after.unwrap_or(DEFAULT_RETRY_AFTER);
            return Some(after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        }
        None
    }
}
