//! Encodes questions and answers about credits, and the rates that upstreams state.

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tsw_base::time::Span;
use tsw_flow::{
    pool::{Question, Statement},
    rate::Rate,
};
use tsw_relay::{
    credits::{Answer, Target},
    router::Router,
};
use tsw_route::Name;

/// Maximum length of the names of a service and an upstream together in bytes. Rates of upstreams with
/// longer names are not passed on.
const MAX_NAMES: usize = 512;
/// Maximum encoded size of a rate apart from its names in bytes.
const RATE_BYTES: usize = 40;
/// Maximum size of the rates that are sent with a report in bytes.
const MAX_RATES: usize = 3_072;
/// Time for which a statement of an upstream is passed on with the reports.
const RATE_AGE: Span = Span::from_millis(1_000);
/// Maximum number of questions or answers in a message, so that it fits into a datagram.
pub const MAX_ITEMS: usize = 16;

/// What an upstream stated about its rate, in its encoded form.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatedRate {
    service: String,
    upstream: String,
    run: u64,
    /// Requests per second; `None` if it no longer states a rate.
    per_s: Option<f64>,
    age_us: u64,
}

impl StatedRate {
    fn new(target: &Target, statement: &Statement) -> Self {
        Self {
            service: target.service.to_string(),
            upstream: target.upstream.to_string(),
            run: statement.run,
            per_s: statement.rate.map(Rate::per_s),
            age_us: statement.age.as_micros(),
        }
    }

    /// Returns the upstream.
    #[must_use]
    pub fn target(&self) -> Target {
        Target {
            service: self.service.as_str().into(),
            upstream: self.upstream.as_str().into(),
        }
    }

    /// Applies the statement at a router that got it from another one. A rate that cannot be used is
    /// ignored.
    pub fn apply(&self, router: &Rc<Router>, from: &str) {
        let rate = self.per_s.map(Rate::new);
        if rate == Some(None) {
            return;
        }
        let statement = Statement {
            run: self.run,
            rate: rate.flatten(),
            age: Span::from_micros(self.age_us),
        };
        router.merge_statement(&self.target(), statement, from);
    }

    fn bytes(&self) -> usize {
        self.service.len() + self.upstream.len() + RATE_BYTES
    }
}

/// Returns the rates that upstreams stated lately, as far as they fit into a report.
#[must_use]
pub fn recent_rates(router: &Router) -> Vec<StatedRate> {
    let mut left = MAX_RATES;
    let statements = router.statements(RATE_AGE).into_iter();
    let rates = statements.map(|(target, statement)| StatedRate::new(&target, &statement));
    let fits = rates.filter(|rate| {
        let fits = rate.bytes() <= left;
        left -= if fits { rate.bytes() } else { 0 };
        fits
    });
    fits.collect()
}

/// A question of a router to the allocator of an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    /// What the upstream stated to the router that asks.
    pub rate: StatedRate,
    /// Number of credits.
    pub credits: u32,
    /// Time of the question by the clock of the router that asks.
    pub asked_us: u64,
}

impl Ask {
    /// Returns the encoded form of a question; `None` if its names are too long.
    #[must_use]
    pub fn new(service: &Name, question: &Question, asked_us: u64) -> Option<Self> {
        let (service, upstream) = (service.clone(), question.upstream.clone());
        let rate = StatedRate::new(&Target { service, upstream }, &question.statement);
        (rate.bytes() <= MAX_NAMES + RATE_BYTES).then_some(Self {
            rate,
            credits: question.credits,
            asked_us,
        })
    }
}

/// The answer of an allocator, in its encoded form.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatedAnswer {
    /// What the upstream stated last as far as the allocator knows.
    pub rate: StatedRate,
    asked_us: u64,
    starts_in_us: Vec<u64>,
    next_in_us: u64,
}

impl StatedAnswer {
    /// Returns the encoded form of an answer.
    #[must_use]
    pub fn new(answer: &Answer, statement: &Statement) -> Self {
        let starts_in = answer.starts_in.iter();
        Self {
            rate: StatedRate::new(&answer.target, statement),
            asked_us: answer.asked_us,
            starts_in_us: starts_in.map(|span| span.as_micros()).collect(),
            next_in_us: answer.next_in.as_micros(),
        }
    }

    /// Returns the answer.
    #[must_use]
    pub fn answer(&self) -> Answer {
        let starts_in = self.starts_in_us.iter();
        Answer {
            target: self.rate.target(),
            asked_us: self.asked_us,
            starts_in: starts_in.map(|micros| Span::from_micros(*micros)).collect(),
            next_in: Span::from_micros(self.next_in_us),
        }
    }
}

/// Questions and answers about credits.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Credits {
    /// Questions to the receiver as an allocator.
    pub asks: Vec<Ask>,
    /// Answers to questions of the receiver.
    pub answers: Vec<StatedAnswer>,
}

impl Credits {
    /// Returns whether there are no questions and no answers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.asks.is_empty() && self.answers.is_empty()
    }
}
