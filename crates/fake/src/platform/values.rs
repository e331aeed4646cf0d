//! The configuration service.
//!
//! `GET /v1/values/KEY` returns the value as it was stored, with its number in the header
//! `toucan-revision`. With `after=REVISION&wait_ms=N` the answer waits until the value has a higher
//! number, and is 304 when that does not happen in time. A value that goes back to a lower number
//! ends the watches that are pending then.

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

/// Largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Longest watch, in milliseconds.
pub const MAX_WAIT_MS: u64 = 120_000;

/// Counters of the configuration service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Calls, with watches and those that were refused.
    pub calls: u64,
    /// Calls that were watches.
    pub watches: u64,
    /// Watches that are pending now.
    pub pending: u32,
    /// Most watches that were pending at one time.
    pub pending_peak: u32,
    /// Calls refused because of the rate limit.
    pub limited: u64,
    /// Bytes of values in answers.
    pub bytes: u64,
    /// Most calls and pending watches in one second.
    pub peak: u32,
}

#[derive(Default)]
struct Value {
    /// All values that were ever stored, by number.
    kept: BTreeMap<u64, Bytes>,
    current: u64,
    stale: Option<u64>,
    changed: Rc<Notify>,
}

impl Value {
    fn shown(&self) -> Option<(u64, Bytes)> {
        let revision = self.stale.unwrap_or(self.current);
        Some((revision, self.kept.get(&revision)?.clone()))
    }
}

#[derive(Deserialize)]
struct Pick {
    key: String,
    #[serde(default)]
    revision: Option<u64>,
}

/// The values by key.
pub(super) struct Store {
    values: RefCell<IndexMap<String, Value>>,
    limit: RefCell<rate::Limit>,
    stats: RefCell<Stats>,
}

/// Counts a watch as pending while it lives.
struct Pending<'a>(&'a RefCell<Stats>);

impl<'a> Pending<'a> {
    fn new(stats: &'a RefCell<Stats>) -> Self {
        let mut counts = stats.borrow_mut();
        counts.watches += 1;
        counts.pending += 1;
        counts.pending_peak = counts.pending_peak.max(counts.pending);
        drop(counts);
        Self(stats)
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().pending -= 1;
    }
}

impl Store {
    pub(super) fn new(rate: u32) -> Self {
        Self {
            values: RefCell::default(),
            limit: RefCell::new(rate::Limit::new(rate)),
            stats: RefCell::default(),
        }
    }

    pub(super) async fn read(&self, key: &str, call: &http::Call) -> http::Reply {
        let pending = self.stats.borrow().pending;
        self.stats.borrow_mut().calls += 1;
        if !self.limit.borrow_mut().take(Instant::now(), pending) {
            self.stats.borrow_mut().limited += 1;
            return http::limited(1);
        }
        let after = call.number("after");
        let wait_ms = call.number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        match after {
            Some(after) if wait_ms > 0 => {
                let _pending = Pending::new(&self.stats);
                let wait = Duration::from_millis(wait_ms);
                match timeout(wait, self.change(key, after)).await {
                    Ok(found) => self.reply(found),
                    Err(_) => {
                        Response::with_body(StatusCode::NOT_MODIFIED, ()).map_into_boxed_body()
                    }
                }
            }
            _ => match self.shown(key) {
                Some(found) => self.reply(found),
                None => http::fault(StatusCode::NOT_FOUND, &"no such key"),
            },
        }
    }

    fn shown(&self, key: &str) -> Option<(u64, Bytes)> {
        self.values.borrow().get(key)?.shown()
    }

    /// Waits until the value has a higher number than `after`, or goes back.
    async fn change(&self, key: &str, after: u64) -> (u64, Bytes) {
        let mut before = self.shown(key).map(|(revision, _)| revision);
        loop {
            let shown = self.shown(key);
            if let Some((revision, bytes)) = shown {
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

    fn reply(&self, (revision, bytes): (u64, Bytes)) -> http::Reply {
        self.stats.borrow_mut().bytes += bytes.len() as u64;
        let mut reply = Response::new(StatusCode::OK).set_body(bytes.boxed());
        let name = HeaderName::from_static("toucan-revision");
        reply
            .headers_mut()
            .insert(name, HeaderValue::from(revision));
        reply
    }

    pub(super) fn control(
        &self,
        verb: &str,
        call: &http::Call,
    ) -> Result<http::Reply, http::Reply> {
        match verb {
            "put" => return self.put(call),
            "stats" => {
                let mut stats = *self.stats.borrow();
                stats.peak = self.limit.borrow().peak();
                return Ok(http::json(StatusCode::OK, &stats));
            }
            "rate" => {
                let change: rate::Change = call.json()?;
                self.limit.borrow_mut().set(change.per_second);
            }
            "stale" | "back" => {
                let pick: Pick = call.json()?;
                let mut values = self.values.borrow_mut();
                let value = values.entry(pick.key).or_default();
                match (verb, pick.revision) {
                    ("stale", revision) => value.stale = revision,
                    (_, Some(revision)) if value.kept.contains_key(&revision) => {
                        value.current = revision;
                    }
                    _ => return Err(http::fault(StatusCode::NOT_FOUND, &"no such revision")),
                }
                value.changed.notify_waiters();
            }
            _ => return Err(http::missing(call)),
        }
        Ok(http::done())
    }

    /// Stores a value. Its number comes from the call, else from the field `revision` of the value,
    /// else it is the next one.
    fn put(&self, call: &http::Call) -> Result<http::Reply, http::Reply> {
        #[derive(Deserialize)]
        struct Numbered {
            revision: u64,
        }
        let Some(key) = call.param("key") else {
            return Err(http::fault(StatusCode::BAD_REQUEST, &"give key=KEY"));
        };
        if call.body.len() > MAX_VALUE_BYTES {
            return Err(http::fault(
                StatusCode::PAYLOAD_TOO_LARGE,
                &"value too large",
            ));
        }
        let mut values = self.values.borrow_mut();
        let value = values.entry(key).or_default();
        let inner = serde_json::from_slice(&call.body).map(|n: Numbered| n.revision);
        let revision = call.number("revision").or(inner.ok());
        let revision = revision.unwrap_or(value.current + 1);
        value.kept.insert(revision, call.body.clone());
        value.current = revision;
        value.changed.notify_waiters();
        let body = serde_json::json!({"revision": revision});
        Ok(http::json(StatusCode::OK, &body))
    }
}
