//! Refused requests that clients send again.
//!
//! A client that is refused comes back later, when its request has often missed its objective. A team that asks for
//! twice its share would be served as many of these as of new requests, which then miss theirs.

use indexmap::IndexMap;
use tsw_base::time::{Span, Timestamp};
use xxhash_rust::xxh3::Xxh3;

use crate::{prompt::Prompt, queue::Standing};

/// Time for which a refusal is remembered at least. Clients come back within a third of the time that they wait for a
/// response, which is 15 s at most.
const RETENTION: Span = Span::from_millis(5_000);
/// Maximum number of refusals of each generation, 32 bytes each.
const MAX_REFUSALS: usize = 8_192;

/// Maximum number of refusals in a report to the other routers, so that a datagram has room for them.
const MAX_REPORTED: usize = 128;
/// Percentage of the objective after which a request that comes again counts as overdue. An engine needs the rest for the
/// prompt.
const OVERDUE_PERCENT: u64 = 75;

/// Identifies a request and its repetitions.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Key(u64);

impl Key {
    /// Returns the key of a request of a team. The prompt ends with a part that other requests do not have.
    ///
    /// ```
    /// use tsw_flow::{prompt::{Part, Prompt}, repeat::Key};
    /// let parts = vec![Part { id: 1, tokens: 500 }, Part { id: 9, tokens: 20 }];
    /// let prompt = Prompt { tokens: 520, expected_tokens: 10, parts };
    /// assert_eq!(Key::new("north", b"/chat", &prompt), Key::new("north", b"/chat", &prompt));
    /// assert_ne!(Key::new("north", b"/chat", &prompt), Key::new("south", b"/chat", &prompt));
    /// ```
    #[must_use]
    pub fn new(team: &str, target: &[u8], prompt: &Prompt) -> Self {
        let mut hash = Xxh3::new();
        for text in [team.as_bytes(), target] {
            hash.update(&(text.len() as u64).to_le_bytes());
            hash.update(text);
        }
        let last = prompt.parts.last().map_or(0, |part| part.id);
        for number in [last, prompt.tokens, prompt.expected_tokens] {
            hash.update(&number.to_le_bytes());
        }
        Self(hash.digest())
    }
}

/// A refusal as reported to other routers: the key, and the time since the request arrived first in milliseconds.
pub type Reported = (u64, u16);

/// The requests that were refused lately, with the time at which each arrived first.
///
/// ```
/// use tsw_base::time::Timestamp;
/// use tsw_flow::{prompt::Prompt, repeat::{Key, Refusals}};
/// let (mut refusals, key) = (Refusals::default(), Key::new("north", b"/chat", &Prompt::default()));
/// let [first, second] = [1, 400_000].map(Timestamp::from_micros);
/// refusals.record(first, key, first);
/// refusals.record(second, key, second);
/// assert_eq!(refusals.first_arrival(key), Some(first));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    /// Since `since`.
    current: IndexMap<Key, Timestamp>,
    /// Before.
    previous: IndexMap<Key, Timestamp>,
    since: Timestamp,
    /// Refused here for the first time since the last report.
    unreported: Vec<(Key, Timestamp)>,
}

impl Refusals {
    /// Records that this router refuses a request that arrived at `arrived`.
    pub fn record(&mut self, now: Timestamp, key: Key, arrived: Timestamp) {
        if self.insert(now, key, arrived) && self.unreported.len() < MAX_REPORTED {
            self.unreported.push((key, arrived));
        }
    }

    /// Returns whether the request was not known yet.
    fn insert(&mut self, now: Timestamp, key: Key, arrived: Timestamp) -> bool {
        let known = self.first_arrival(key);
        if now.since(self.since) >= RETENTION || self.current.len() >= MAX_REFUSALS {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current.insert(key, known.unwrap_or(arrived));
        known.is_none()
    }

    /// Returns the refusals since the last report, for the other routers.
    pub fn take_report(&mut self, now: Timestamp) -> Vec<Reported> {
        let refusals = std::mem::take(&mut self.unreported).into_iter();
        let reported = refusals.map(|(key, arrived)| {
            let age_ms = u16::try_from(now.since(arrived).as_millis()).unwrap_or(u16::MAX);
            (key.0, age_ms)
        });
        reported.collect()
    }

    /// Records the refusals that another router reports.
    ///
    /// ```
    /// use tsw_base::time::{Span, Timestamp};
    /// use tsw_flow::{prompt::Prompt, repeat::{Key, Refusals}};
    /// let key = Key::new("north", b"/chat", &Prompt::default());
    /// let (mut here, mut there) = (Refusals::default(), Refusals::default());
    /// let arrived = Timestamp::from_micros(1_000_000);
    /// there.record(arrived, key, arrived);
    /// let later = arrived + Span::from_millis(200);
    /// here.add_report(later, &there.take_report(later));
    /// assert_eq!(here.first_arrival(key), Some(arrived));
    /// ```
    pub fn add_report(&mut self, now: Timestamp, reported: &[Reported]) {
        for (key, age_ms) in reported {
            let age = Span::from_millis(u64::from(*age_ms));
            let arrived = now.as_micros().saturating_sub(age.as_micros());
            self.insert(now, Key(*key), Timestamp::from_micros(arrived));
        }
    }

    /// Returns when a request that was refused lately arrived first.
    #[must_use]
    pub fn first_arrival(&self, key: Key) -> Option<Timestamp> {
        let mut generations = [&self.current, &self.previous].into_iter();
        generations.find_map(|generation| generation.get(&key).copied())
    }

    /// Returns the standing of a request, given the one that it would have if it was not refused before.
    ///
    /// ```
    /// use tsw_base::time::{Span, Timestamp};
    /// use tsw_flow::{prompt::Prompt, queue::Standing, repeat::{Key, Refusals}};
    /// let (mut refusals, key) = (Refusals::default(), Key::new("north", b"/chat", &Prompt::default()));
    /// let arrived = Timestamp::from_micros(1);
    /// refusals.record(arrived, key, arrived);
    /// let standing = |after, first| {
    ///     refusals.standing(arrived + Span::from_millis(after), key, Span::from_millis(400), first)
    /// };
    /// assert_eq!(standing(200, Standing::New), Standing::New);
    /// assert_eq!(standing(300, Standing::New), Standing::Overdue);
    /// assert_eq!(standing(300, Standing::Resumed), Standing::Resumed);
    /// ```
    #[must_use]
    pub fn standing(&self, now: Timestamp, key: Key, objective: Span, first: Standing) -> Standing {
        let limit = objective.as_micros().saturating_mul(OVERDUE_PERCENT) / 100;
        let arrived = self.first_arrival(key);
        let is_overdue = arrived.is_some_and(|arrived| now.since(arrived).as_micros() >= limit);
        if first == Standing::New && is_overdue {
            Standing::Overdue
        } else {
            first
        }
    }
}
