//! The configuration service.
//!
//! `GET /v1/values/KEY` returns the value as it was stored, with its revision in the header
//! `toucan-revision`. With `after=REVISION&wait_ms=N` the call is a watch: the response is sent
//! when the value has a higher revision, or with status 304 after the wait time. Pending
//! watches also end when the value goes back to a lower revision.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use actix_http::{
    body::MessageBody as _,
    header::{HeaderName, HeaderValue},
    Response, StatusCode,
};
use actix_rt::time::{timeout, Instant};
use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::rate;
use crate::http;

/// Maximum size of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Maximum duration of a watch, in milliseconds.
pub const MAX_WAIT_MS: u64 = 120_000;

/// Counters of the configuration service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Calls, including watches and refused calls.
    pub calls: u64,
    /// Calls that were watches.
    pub watches: u64,
    /// Watches that are pending now.
    pub pending: u32,
    /// Maximum number of watches pending at the same time.
    pub pending_peak: u32,
    /// Calls refused because of the rate limit.
    pub limited: u64,
    /// Total size of the values in responses, in bytes.
    pub bytes: u64,
    /// Maximum number of calls and pending watches in one second.
    pub peak: u32,
}

#[derive(Default)]
struct Value {
    /// All values that were ever stored, by revision.
    revisions: BTreeMap<u64, Bytes>,
    current: u64,
    /// Old revision that is served instead of the current one.
    stale: Option<u64>,
    changed: Rc<Notify>,
}

impl Value {
    fn served(&self) -> Option<(u64, Bytes)> {
        let revision = self.stale.unwrap_or(self.current);
        Some((revision, self.revisions.get(&revision)?.clone()))
    }
}

#[derive(Deserialize)]
struct RevisionCall {
    key: String,
    #[serde(default)]
    revision: Option<u64>,
}

/// The values by key, with the rate limit of the service.
pub(super) struct Store {
    values: RefCell<IndexMap<String, Value>>,
    limit: RefCell<rate::RateLimit>,
    stats: RefCell<Stats>,
}

/// Counts a watch as pending until it is dropped.
struct PendingWatch<'a>(&'a RefCell<Stats>);

impl<'a> PendingWatch<'a> {
    fn new(stats: &'a RefCell<Stats>) -> Self {
        let mut counts = stats.borrow_mut();
        counts.watches += 1;
        counts.pending += 1;
        counts.pending_peak = counts.pending_peak.max(counts.pending);
        drop(counts);
        Self(stats)
    }
}

impl Drop for PendingWatch<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().pending -= 1;
    }
}

impl Store {
    pub(super) fn new(rate: u32) -> Self {
        Self {
            values: RefCell::default(),
            limit: RefCell::new(rate::RateLimit::new(rate)),
            stats: RefCell::default(),
        }
    }

    pub(super) async fn read(&self, key: &str, call: &http::Call) -> http::HttpResponse {
        let pending = self.stats.borrow().pending;
        self.stats.borrow_mut().calls += 1;
        if !self.limit.borrow_mut().try_acquire(Instant::now(), pending) {
            self.stats.borrow_mut().limited += 1;
            return http::rate_limited(1);
        }
        let after = call.number("after");
        let wait_ms = call.number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        match after {
            Some(after) if wait_ms > 0 => {
                let _pending = PendingWatch::new(&self.stats);
                let wait = Duration::from_millis(wait_ms);
                match timeout(wait, self.wait_for_change(key, after)).await {
                    Ok(found) => self.value_response(found),
                    Err(_) => {
                        Response::with_body(StatusCode::NOT_MODIFIED, ()).map_into_boxed_body()
                    }
                }
            }
            _ => match self.served(key) {
                Some(found) => self.value_response(found),
                None => http::error_response(StatusCode::NOT_FOUND, &"no such key"),
            },
        }
    }

    fn served(&self, key: &str) -> Option<(u64, Bytes)> {
        self.values.borrow().get(key)?.served()
    }

    /// Waits until the value has a higher revision than `after`, or goes back to a lower revision.
    async fn wait_for_change(&self, key: &str, after: u64) -> (u64, Bytes) {
        let mut before = self.served(key).map(|(revision, _)| revision);
        loop {
            let served = self.served(key);
            if let Some((revision, bytes)) = served {
                if revision > after || before.is_some_and(|before| revision < before) {
                    return (revision, bytes);
                }
                before = Some(revision);
            }
            let changed = {
                let mut values = self.values.borrow_mut();
                Rc::clone(&values.entry(key.to_owned()).or_default().changed)
            };
            changed.notified().await;
        }
    }

    fn value_response(&self, (revision, bytes): (u64, Bytes)) -> http::HttpResponse {
        self.stats.borrow_mut().bytes += bytes.len() as u64;
        let mut response = Response::new(StatusCode::OK).set_body(bytes.boxed());
        let name = HeaderName::from_static("toucan-revision");
        response
            .headers_mut()
            .insert(name, HeaderValue::from(revision));
        response
    }

    pub(super) fn control(
        &self,
        action: &str,
        call: &http::Call,
    ) -> Result<http::HttpResponse, http::HttpResponse> {
        match action {
            "put" => return self.put(call),
            "stats" => {
                let mut stats = *self.stats.borrow();
                stats.peak = self.limit.borrow().peak();
                return Ok(http::json(StatusCode::OK, &stats));
            }
            "rate" => {
                let change: rate::RateChange = call.json()?;
                self.limit.borrow_mut().set(change.per_second);
            }
            "stale" | "back" => {
                let choice: RevisionCall = call.json()?;
                let mut values = self.values.borrow_mut();
                let value = values.entry(choice.key).or_default();
                match (action, choice.revision) {
                    ("stale", revision) => value.stale = revision,
                    (_, Some(revision)) if value.revisions.contains_key(&revision) => {
                        value.current = revision;
                    }
                    _ => {
                        return Err(http::error_response(
                            StatusCode::NOT_FOUND,
                            &"no such revision",
                        ))
                    }
                }
                value.changed.notify_waiters();
            }
            _ => return Err(http::not_found(call)),
        }
        Ok(http::ok())
    }

    /// Stores a value. Its revision is the one given in the call, otherwise the field `revision` of
    /// the value, otherwise the next one.
    fn put(&self, call: &http::Call) -> Result<http::HttpResponse, http::HttpResponse> {
        #[derive(Deserialize)]
        struct RevisionField {
            revision: u64,
        }
        let Some(key) = call.param("key") else {
            return Err(http::error_response(
                StatusCode::BAD_REQUEST,
                &"give key=KEY",
            ));
        };
        if call.body.len() > MAX_VALUE_BYTES {
            return Err(http::error_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                &"value too large",
            ));
        }
        let mut values = self.values.borrow_mut();
        let value = values.entry(key).or_default();
        let own_revision =
            serde_json::from_slice(&call.body).map(|value: RevisionField| value.revision);
        let revision = call.number("revision").or(own_revision.ok());
        let revision = revision.unwrap_or(value.current + 1);
        value.revisions.insert(revision, call.body.clone());
        value.current = revision;
        value.changed.notify_waiters();
        let body = serde_json::json!({"revision": revision});
        Ok(http::json(StatusCode::OK, &body))
    }
}
