//! Which engine serves a prompt best.

use std::net::SocketAddr;

use indexmap::IndexSet;
use tsw_base::time::Tick;
use tsw_member::rendezvous;
use tsw_route::Name;

use super::{Ask, Choice, Upstream};
use crate::prompt::Prompt;

/// Prompt tokens that delay an engine about as much as one more running request does. A running
/// request lengthens each step by about 0.1 ms, in which an engine reads 5 to 6 tokens; a prompt
/// lasts for some ten steps.
const RUNNING_TOKENS: u64 = 60;
/// Fewest tokens that are worth a fetch, which delays an engine about as much as reading these.
const FETCH_LEAST: u64 = 60;
/// Tokens moved between engines that cost as much as reading one.
const MOVED_PER_READ: u64 = 15;

/// Prompt tokens by which an engine in another failure domain must be ahead: an engine reads them in
/// about a tenth of the shortest objective of 400 ms. Traffic between failure domains is dear.
const FAR_TOKENS: u64 = 3_000;

/// Prompt tokens that others send, in a millisecond, to an engine that this router does not own.
/// Engines read some 50 in that time, and most of their prompts come from their owner.
const UNSEEN_PER_MS: u64 = 4;
/// Weight of prompts that are read at the same time: each step then reads a piece of both, which
/// lengthens the pauses of all streams there.
const BESIDE: u64 = 2;

/// An engine and the tokens at the start of the prompt that it holds.
struct Held<'a> {
    upstream: &'a Upstream,
    tokens: u64,
    /// Tokens that it should read because the shared parts belong there.
    belongs: u64,
}

/// Returns what each engine holds of a prompt.
///
/// Shared parts that no engine is known to hold belong to the engine with the highest rank for
/// them, so that routers that do not know of each other yet send them to the same engine.
fn held<'a>(candidates: &[&'a Upstream], prompt: &Prompt) -> Vec<Held<'a>> {
    let parts = prompt.shared_parts();
    let shared: u64 = parts.iter().map(|part| part.tokens).sum();
    let each = candidates.iter().map(|upstream| Held {
        upstream,
        tokens: upstream.held.prefix(&prompt.parts),
        belongs: 0,
    });
    let mut each: Vec<Held<'_>> = each.collect();
    if each.iter().all(|held| held.tokens < shared) {
        let key = parts.last().map_or(0, |part| part.id);
        let rank = |held: &&mut Held<'_>| {
            let id = &*held.upstream.entry.id;
            (rendezvous::weight(key, id), id.to_owned())
        };
        if let Some(home) = each.iter_mut().max_by_key(rank) {
            home.belongs = shared - home.tokens;
        }
    }
    each
}

/// Chooses the engine that reads the prompt with the least delay for it and for what runs there.
pub(super) fn choose(
    now: Tick,
    candidates: &[&Upstream],
    owned: &IndexSet<Name>,
    ask: &Ask<'_>,
    prompt: &Prompt,
) -> Option<Choice> {
    let held = held(candidates, prompt);
    let source = held.iter().max_by_key(|held| held.tokens);
    let fits = held.iter().filter_map(|held| {
        let upstream = held.upstream;
        let (moved, fetch) = source.map_or((0, None), |source| fetch(ask, held, source));
        let unread = prompt.tokens.saturating_sub(held.tokens + moved);
        let waiting = upstream.unread();
        let room = waiting == 0 || waiting + unread <= ask.most_unread;
        if !room || upstream.requests() >= upstream.entry.slots {
            return None;
        }
        let running = u64::from(upstream.requests()) * RUNNING_TOKENS;
        let fetching = fetch.map_or(0, |_| FETCH_LEAST + moved / MOVED_PER_READ);
        let far = if &*upstream.entry.domain == ask.domain {
            0
        } else {
            FAR_TOKENS
        };
        let unseen = if owned.is_empty() || owned.contains(&upstream.entry.id) {
            0
        } else {
            UNSEEN_PER_MS * ask.statement_age.as_millis()
        };
        let beside = BESIDE * waiting.min(unread);
        let cost = waiting + unread + beside + running + fetching + far + unseen;
        let cost = cost.saturating_sub(held.belongs) as f64;
        let cost = cost * (1.0 + 2.0 * upstream.failure_rate(now));
        Some((cost, upstream, unread, fetch))
    });
    let best = fits.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, upstream, unread, fetch)| upstream.choice(unread, fetch))
}

/// Returns the tokens that an engine should fetch from the one that holds most, and its address.
fn fetch(ask: &Ask<'_>, held: &Held<'_>, source: &Held<'_>) -> (u64, Option<SocketAddr>) {
    let missing = source.tokens.saturating_sub(held.tokens);
    if ask.can_fetch && missing >= FETCH_LEAST {
        (missing, Some(source.upstream.entry.address))
    } else {
        (0, None)
    }
}
