//! Reads the history of the platform's store once at the start, to learn of upstreams that left.

use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rand::Rng;
use tokio::{task, time};
use tsw_base::time::Span;
use tsw_event::{emit, Event};
use tsw_flow::{
    history::{Change, History, Reader},
    registry::Position,
};
use tsw_platform::{
    store::{Error, Item, Items, Store},
    upstream,
};

use crate::state::State;

/// Time for which the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);
/// Interval at which each upstream writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Maximum number of calls.
const MAX_CALLS: u32 = 14;
/// Factor between the numbers of changes of two calls.
const FACTOR: u64 = 2;
/// Maximum number of changes that are read.
const MAX_CHANGES: u64 = 4_096;
/// Highest era of a store that was not restored from a copy.
const FIRST_ERA: u64 = 1;
/// Maximum size of a response in bytes.
const MAX_RESPONSE: usize = 4 << 20;
/// Maximum pause before the first call and after a failed one.
const MAX_PAUSE: Duration = Duration::from_millis(200);
/// Minimum number of changes that a list must show in place of the store's history.
const MIN_UNCHANGED: u64 = 3;
/// Number of changes that are decoded without a pause.
const CHUNK: usize = 64;

/// Reads and applies the history before a list.
pub async fn run(state: Rc<State>, list: Items) {
    let address = state.settings.borrow().store;
    let mut store = Store::with_max_response(address, MAX_RESPONSE);
    let revision = list.position.revision;
    let read = read(&mut store, &list).await;
    if let Err(error) = &read {
        emit(
            Event::HistoryUnavailable,
            &[("revision", &revision), ("cause", error)],
        );
    }
    let (after, items) = match read {
        Ok(read) => read,
        Err(Error::Compacted) => {
            let items = Items {
                position: list.position,
                ..Items::default()
            };
            (revision, items)
        }
        Err(_) => return,
    };
    state.record_changes(after, &items, revision);
    let after = unchanged_after(&list, after);
    let mut history = decode(after, &items, &list).await;
    if list.position.era.is_some_and(|era| era > FIRST_ERA) {
        // The changes that were lost with the restore may be among those that are missing.
        history.known_for = Span::ZERO;
    } else if after == 0 && history.is_whole {
        // Nothing is missing since the store was set up.
        history.known_for = state.router.origin_lifetime();
    }
    let newest = history.steps.last().map_or(Span::ZERO, |step| step.age);
    emit(
        Event::HistoryRead,
        &[
            ("era", &list.position.era.unwrap_or(0)),
            ("after", &after),
            ("revision", &revision),
            ("changes", &items.items.len()),
            ("departed", &history.departed.len()),
            ("unknown", &history.unknown.len()),
            ("known_ms", &history.known_for.as_millis()),
            ("steps", &history.steps.len()),
            ("newest_ms", &newest.as_millis()),
        ],
    );
    state.apply_history(items.position.era, &history);
}

/// Returns the earliest revision since which the list shows each change up to `after`, because nothing has replaced it.
/// The store may have discarded these changes.
fn unchanged_after(list: &Items, after: u64) -> u64 {
    let revisions: HashSet<u64> = list.items.iter().map(|item| item.revision).collect();
    let is_listed = |revision: &u64| revisions.contains(revision);
    let shown = (1..=after).rev().take_while(is_listed).count() as u64;
    if shown < MIN_UNCHANGED {
        return after;
    }
    after - shown
}

/// Returns the changes, and the revision after which they begin.
///
/// The store rejects a revision that is too old, but does not state which ones it keeps. It may discard changes at any
/// time. Whether heartbeats are changes depends on the store, so that their number is not known either.
async fn read(store: &mut Store, list: &Items) -> Result<(u64, Items), Error> {
    let entries = list.items.len() as u64;
    let writes = entries * HISTORY.as_millis() as u64 / HEARTBEAT.as_millis() as u64;
    let longest = list.position.revision.clamp(1, MAX_CHANGES);
    let mut length = writes.clamp(1, longest);
    let mut result = Err(Error::Compacted);
    // The longest length that was answered, and the shortest that was not.
    let (mut answered, mut rejected) = (0, None);
    for _ in 0..MAX_CALLS {
        time::sleep(MAX_PAUSE.mul_f64(rand::thread_rng().gen())).await;
        let revision = list.position.revision.saturating_sub(length);
        let after = Position {
            revision,
            ..list.position
        };
        match store.watch(upstream::PREFIX, after, Duration::ZERO).await {
            Ok(items) => {
                answered = length;
                result = Ok((revision, items));
            }
            Err(Error::Restored) => return Err(Error::Restored),
            Err(Error::Compacted | Error::TooLong(_)) => rejected = Some(length),
            // Tried again, unless something is known already.
            Err(_) if result.is_ok() => break,
            Err(error) => {
                result = Err(error);
                continue;
            }
        }
        length = match rejected {
            Some(rejected) if rejected - answered <= 1 => break,
            Some(rejected) => answered + (rejected - answered) / FACTOR,
            None => (answered * FACTOR).min(longest),
        };
        if length == answered {
            break;
        }
    }
    result
}

/// Decodes the changes up to the list, of which it shows the first ones itself, and returns what they prove. The watch reads the later ones, and
/// applies a departure together with the upstreams that take the place.
async fn decode(after: u64, items: &Items, list: &Items) -> History {
    let revision = list.position.revision;
    let mut reader = Reader::new(after);
    let first = items
        .items
        .first()
        .map_or(revision + 1, |item| item.revision);
    let unchanged = list
        .items
        .iter()
        .filter(|item| item.revision > after && item.revision < first);
    let mut changes: Vec<&Item> = unchanged.collect();
    changes.sort_unstable_by_key(|item| item.revision);
    changes.extend(&items.items);
    for chunk in changes.chunks(CHUNK) {
        let chunk = chunk.iter().filter(|item| item.revision <= revision);
        chunk
            .filter_map(|item| change(item))
            .for_each(|change| reader.read(change));
        // Requests are served meanwhile.
        task::yield_now().await;
    }
    let listed = list.items.iter().filter(|item| item.revision <= after);
    listed
        .filter_map(change)
        .for_each(|change| reader.record_start(&change));
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
    let mut history = reader.finish(revision, now_ms);
    if items.position.revision < revision {
        history.known_for = Span::ZERO;
        history.is_whole = false;
    }
    history
}

fn change(item: &Item) -> Option<Change> {
    let id = item.key.strip_prefix(upstream::PREFIX)?;
    let content = item.value.as_ref();
    Some(Change {
        key: id.into(),
        revision: item.revision,
        created: item.created,
        // Rejected entries are logged when they are listed.
        content: content.map(|bytes| upstream::decode(id, bytes).ok()),
    })
}
