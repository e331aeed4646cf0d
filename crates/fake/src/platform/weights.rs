//! The weight store: a rate limit and opaque bytes.

use std::cell::{Cell, RefCell};

use actix_http::{body::MessageBody as _, Response, StatusCode};
use actix_rt::time::Instant;
use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::rate;
use crate::http;

/// Counters of the weight store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Reads that were answered, by model.
    pub reads: IndexMap<String, u64>,
    /// Reads refused because of the rate limit.
    pub limited: u64,
}

pub(super) struct Store {
    limit: RefCell<rate::Limit>,
    stats: RefCell<Stats>,
    bytes: Cell<usize>,
}

impl Store {
    pub(super) fn new(rate: u32, bytes: usize) -> Self {
        Self {
            limit: RefCell::new(rate::Limit::new(rate)),
            stats: RefCell::default(),
            bytes: Cell::new(bytes),
        }
    }

    pub(super) fn read(&self, model: &str) -> http::Reply {
        let mut stats = self.stats.borrow_mut();
        if !self.limit.borrow_mut().take(Instant::now(), 0) {
            stats.limited += 1;
            return http::limited(1);
        }
        *stats.reads.entry(model.to_owned()).or_default() += 1;
        let body = Bytes::from(vec![0; self.bytes.get()]);
        Response::new(StatusCode::OK).set_body(body.boxed())
    }

    pub(super) fn control(
        &self,
        verb: &str,
        call: &http::Call,
    ) -> Result<http::Reply, http::Reply> {
        match verb {
            "rate" => {
                let change: rate::Change = call.json()?;
                self.limit.borrow_mut().set(change.per_second);
                Ok(http::done())
            }
            "stats" => Ok(http::json(StatusCode::OK, &*self.stats.borrow())),
            _ => Err(http::missing(call)),
        }
    }
}
