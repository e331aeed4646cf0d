//! Selection of an engine for a prompt, with the cost expressed in prompt tokens.

use std::net::SocketAddr;

use tsw_base::time::Timestamp;
use tsw_member::rendezvous;

use super::{Choice, Constraints, Pool, Upstream};
use crate::prompt::Prompt;

/// Cost of a running request. It lengthens each engine step by about 0.1 ms, in which an engine
/// processes 5 to 6 prompt tokens; a prompt takes some ten steps.
const RUNNING_REQUEST_COST: u64 = 60;
/// Weight of the delay of the streams at an engine, in percent of the prompt's own delay where all slots are in use. With
/// 800, a deployment whose engines have 64 slots was served worse.
const DELAY_PERCENT: u64 = 150;
/// Minimum number of tokens to fetch. A fetch delays an engine about as much as processing these
/// tokens does.
const MIN_FETCH_TOKENS: u64 = 60;
/// Cost of a credit that expires unused: the engine that states a rate idles.
const UNUSED_CREDIT_COST: u64 = 3_000;
/// Number of tokens whose transfer between engines costs as much as processing one.
const TRANSFERRED_PER_PROCESSED: u64 = 15;

/// Cost of an engine in another failure domain: an engine processes this number of tokens in about a
/// tenth of the shortest objective of 400 ms. Traffic between failure domains is expensive.
const REMOTE_DOMAIN_COST: u64 = 3_000;

/// Estimated prompt tokens per millisecond that other routers send to an engine that this router
/// does not own. Engines process some 50 in that time, and most of their prompts come from their
/// owner.
const UNREPORTED_TOKENS_PER_MS: u64 = 4;
/// Weight of prompts that are processed concurrently: each step then processes a chunk of both, which
/// lengthens the gaps between the events of all streams at the engine.
const CONCURRENT_PREFILL_WEIGHT: u64 = 2;

/// An engine and the number of tokens at the start of the prompt that it has cached.
struct CachedPrefix<'a> {
    upstream: &'a Upstream,
    tokens: u64,
    /// Uncached tokens of the shared parts, if this engine is the preferred one for them. They are
    /// deducted from its cost.
    preferred_tokens: u64,
}

/// Returns how much of a prompt each engine has cached.
///
/// If no engine is known to have cached all shared parts, the preferred engine for them is chosen by
/// rendezvous hashing, so that routers that have not heard from each other yet choose the same one.
fn cached<'a>(candidates: &[&'a Upstream], prompt: &Prompt) -> Vec<CachedPrefix<'a>> {
    let parts = prompt.shared_parts();
    let shared: u64 = parts.iter().map(|part| part.tokens).sum();
    let each = candidates.iter().map(|upstream| CachedPrefix {
        upstream,
        tokens: upstream.cache.cached_prefix(&prompt.parts),
        preferred_tokens: 0,
    });
    let mut each: Vec<CachedPrefix<'_>> = each.collect();
    if each.iter().all(|cached| cached.tokens < shared) {
        let key = parts.last().map_or(0, |part| part.id);
        let rank = |cached: &CachedPrefix<'a>| {
            let id = &*cached.upstream.entry.id;
            (rendezvous::weight(key, id), id)
        };
        let preferred = each.iter_mut().max_by(|a, b| rank(a).cmp(&rank(b)));
        if let Some(preferred) = preferred {
            preferred.preferred_tokens = shared - preferred.tokens;
        }
    }
    each
}

/// What an engine would cost for a prompt.
pub(super) struct Assessment<'a> {
    pub(super) upstream: &'a Upstream,
    pub(super) uncached: u64,
    fetch: Option<SocketAddr>,
    /// `None` if it has no room.
    pub(super) cost: Option<f64>,
}

/// Chooses the engine with the least delay for the prompt and for the requests that run there.
pub(super) fn choose(
    now: Timestamp,
    pool: &Pool,
    candidates: &[&Upstream],
    constraints: &Constraints<'_>,
    prompt: &Prompt,
) -> Option<Choice> {
    let assessed = assess(now, pool, candidates, constraints, prompt).into_iter();
    let with_room = assessed.filter_map(|engine| engine.cost.map(|cost| (cost, engine)));
    let best = with_room.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, engine)| engine.upstream.choice(engine.uncached, engine.fetch))
}

/// Returns what each engine would cost for a prompt.
pub(super) fn assess<'a>(
    now: Timestamp,
    pool: &Pool,
    candidates: &[&'a Upstream],
    constraints: &Constraints<'_>,
    prompt: &Prompt,
) -> Vec<Assessment<'a>> {
    let owned = &pool.owned;
    let cached = cached(candidates, prompt);
    let source = cached.iter().max_by_key(|cached| cached.tokens);
    let assessed = cached.iter().map(|cached| {
        let upstream = cached.upstream;
        let (transferred, fetch) =
            source.map_or((0, None), |source| fetch(constraints, cached, source));
        let uncached = prompt.tokens.saturating_sub(cached.tokens + transferred);
        let (pending, slowness) = (upstream.pending_tokens(), pool.slowness(now, upstream));
        let requests = upstream.occupancy(now);
        let prefill = (pending + uncached) as f64 * slowness;
        let has_room = pending == 0 || prefill <= constraints.max_pending_tokens as f64;
        // All streams at the engine pause while it processes the prompt, so that a long one prefers engines with few streams
        // for their slots, and short ones those that are left.
        let delayed = uncached * u64::from(requests) * DELAY_PERCENT
            / (100 * u64::from(upstream.entry.slots.max(1)));
        let running = delayed.max(u64::from(requests) * RUNNING_REQUEST_COST);
        let fetching = fetch.map_or(0, |_| {
            MIN_FETCH_TOKENS + transferred / TRANSFERRED_PER_PROCESSED
        });
        let remote = if &*upstream.entry.domain == constraints.domain {
            0
        } else {
            REMOTE_DOMAIN_COST
        };
        let unreported = if owned.is_empty() || owned.contains(&upstream.entry.id) {
            0
        } else {
            UNREPORTED_TOKENS_PER_MS * constraints.report_age.as_millis()
        };
        let concurrent = CONCURRENT_PREFILL_WEIGHT * pending.min(uncached);
        let cost = pending + uncached + concurrent + running + fetching + remote + unreported;
        let credit = if pool.rate(now, upstream).is_some() {
            UNUSED_CREDIT_COST
        } else {
            0
        };
        let cost = cost.saturating_sub(cached.preferred_tokens + credit) as f64;
        let cost = cost * slowness * (1.0 + 2.0 * upstream.failure_rate(now));
        let has_room = has_room && requests < upstream.entry.slots;
        Assessment {
            upstream,
            uncached,
            fetch,
            cost: has_room.then_some(cost),
        }
    });
    assessed.collect()
}

/// Returns how many tokens an engine should fetch from `source`, the engine with the longest cached
/// prefix, and the address of that engine.
fn fetch(
    constraints: &Constraints<'_>,
    cached: &CachedPrefix<'_>,
    source: &CachedPrefix<'_>,
) -> (u64, Option<SocketAddr>) {
    let missing = source.tokens.saturating_sub(cached.tokens);
    if constraints.can_fetch && missing >= MIN_FETCH_TOKENS {
        (missing, Some(source.upstream.entry.address))
    } else {
        (0, None)
    }
}
