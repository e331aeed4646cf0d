//! Which engine serves a prompt best.

use std::net::SocketAddr;

use tsw_base::time::Tick;
use tsw_member::rendezvous;

use super::{Ask, Choice, Upstream};
use crate::prompt::Prompt;

/// Prompt tokens that delay an engine about as much as one more running request does. A running
/// request lengthens each step by about 0.1 ms, in which an engine reads 5 to 6 tokens; a prompt
/// lasts for some ten steps.
const RUNNING_TOKENS: u64 = 60;
/// Fewest tokens that are worth a fetch: setting one up takes about as long as reading these.
const FETCH_LEAST: u64 = 500;
/// Tokens moved between engines that cost as much as reading one.
const MOVED_PER_READ: u64 = 15;

/// An engine and the tokens at the start of the prompt that it holds.
struct Held<'a> {
    upstream: &'a Upstream,
    tokens: u64,
}

/// Returns what each engine holds of a prompt.
///
/// All routers send prompts with the same parts to the engine with the highest rank for them, so
/// that it holds the shared parts even if this router has sent none there.
fn held<'a>(candidates: &[&'a Upstream], prompt: &Prompt) -> Vec<Held<'a>> {
    let key = prompt.shared().map_or(0, |part| part.id);
    let rank = |upstream: &Upstream| {
        let id = &*upstream.entry.id;
        (rendezvous::weight(key, id), id.to_owned())
    };
    let first = candidates.iter().max_by_key(|upstream| rank(upstream));
    let first = first.map(|upstream| upstream.entry.id.clone());
    let last = prompt.parts.last().map_or(0, |part| part.tokens);
    let shared = prompt.tokens.saturating_sub(last);
    let each = candidates.iter().map(|upstream| {
        let known = upstream.held.prefix(&prompt.parts);
        let home = first.as_ref() == Some(&upstream.entry.id);
        Held {
            upstream,
            tokens: if home { known.max(shared) } else { known },
        }
    });
    each.collect()
}

/// Chooses the engine that reads the prompt with the least delay for it and for what runs there.
pub(super) fn choose(
    now: Tick,
    candidates: &[&Upstream],
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
        let cost = (waiting + unread + running + fetching) as f64;
        let cost = cost * (1.0 + 2.0 * upstream.failure_rate(now));
        Some((cost, upstream, unread, fetch))
    });
    let best = fits.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, upstream, unread, fetch)| upstream.choice(unread, fetch))
}

/// Returns the tokens that an engine should fetch from the one that holds most, and its address.
fn fetch(ask: &Ask<'_>, held: &Held<'_>, source: &Held<'_>) -> (u64, Option<SocketAddr>) {
    let missing = source.tokens.saturating_sub(held.tokens);
    if ask.fetches && missing >= FETCH_LEAST {
        (missing, Some(source.upstream.entry.address))
    } else {
        (0, None)
    }
}
