//! The weight store, which limits the rate of reads and returns zero bytes as the weights of any
//! model.

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
    /// Successful reads by model.
    pub reads: IndexMap<String, u64>,
    /// Reads refused because of the rate limit.
    pub limited: u64,
}

pub(super) struct Store {
    limit: RefCell<rate::RateLimit>,
    stats: RefCell<Stats>,
    /// Size of a model.
    bytes: Cell<usize>,
}

impl Store {
    pub(super) fn new(rate: u32, bytes: usize) -> Self {
        Self {
            limit: RefCell::new(rate::RateLimit::new(rate)),
            stats: RefCell::default(),
            bytes: Cell::new(bytes),
        }
    }

    pub(super) fn read(&self, model: &str) -> http::HttpResponse {
        let mut stats = self.stats.borrow_mut();
        if !self.limit.borrow_mut().try_acquire(Instant::now(), 0) {
            stats.limited += 1;
            return http::rate_limited(1);
        }
        *stats.reads.entry(model.to_owned()).or_default() += 1;
        let body = Bytes::from(vec![0; self.bytes.get()]);
        Response::new(StatusCode::OK).set_body(body.boxed())
    }

    pub(super) fn control(
        &self,
        action: &str,
        call: &http::Call,
    ) -> Result<http::HttpResponse, http::HttpResponse> {
        match action {
            "rate" => {
                let change: rate::RateChange = call.json()?;
                self.limit.borrow_mut().set(change.per_second);
                Ok(http::ok())
            }
            "stats" => Ok(http::json(StatusCode::OK, &*self.stats.borrow())),
            _ => Err(http::not_found(call)),
        }
    }
}
