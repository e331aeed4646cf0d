//! Reads the platform's store and watches it for changes.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use rand::Rng;
use tokio::time;
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_flow::{evacuation, registry::Position};
use tsw_platform::{
    configuration,
    store::{Error, Item, Items, Store},
    upstream,
};

use crate::{configuration_history, list::Kind, state::State, store_history};

/// Maximum wait of one watch call. A stalled connection is detected after this time plus the time
/// limit for a response, well within the time in which a new configuration has to be active.
const WATCH_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum time between the moment up to which the list is known and the response to the next watch call in a small fleet. A watch that a change
/// ends confirms only what was known when it began.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_000);
/// Pause after each watch call for upstreams, so that changes in quick succession are read
/// together.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(100);
/// The same pause in a large fleet, where some entry changes every few milliseconds. Several store
/// readers read in turn, and the other routers read from the one with the highest revision. A
/// leaving upstream serves for at least two seconds; gossip takes half of that.
const LARGE_FLEET_PAUSE: Duration = Duration::from_millis(600);
/// Interval between reads by a router that is no store reader and receives changes from its peers.
/// These reads only detect that the store has become unreachable, which the router would otherwise
/// notice when it becomes a store reader.
const NON_READER_INTERVAL: Duration = Duration::from_secs(60);
/// Minimum time between two lists that are read because of a difference: the other router may be the one that has missed a change.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The part of the store that a task reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// The operators' configuration.
    Configuration,
    /// The entries by which upstreams announce themselves.
    Upstreams,
}

impl Subject {
    const fn prefix(self) -> &'static str {
        match self {
            Self::Configuration => configuration::PREFIX,
            Self::Upstreams => upstream::PREFIX,
        }
    }
}

/// Lists and then watches a part of the store until the process ends.
pub async fn run(state: Rc<State>, subject: Subject) {
    let mut store = Store::new(state.settings.borrow().store);
    let mut position = None;
    let mut reachable = true;
    let mut last_read = Instant::now();
    let mut last_list = None::<Instant>;
    let mut confirmed_until = Timestamp::ZERO;
    let mut reads_history = subject == Subject::Upstreams;
    let mut reads_configurations = subject == Subject::Configuration;
    loop {
        while position.is_some()
            && !state.is_store_reader()
            && !must_list_again(&state, subject, last_list)
            && last_read.elapsed() < NON_READER_INTERVAL
        {
            time::sleep(jitter(RETRY_PAUSE)).await;
        }
        last_read = Instant::now();
        if must_list_again(&state, subject, last_list) {
            state.must_list.set(false);
            position = None;
        }
        if position.is_none() {
            last_list = Some(last_read);
        }
        let sent_at = state.router.now();
        let wait = position.map_or(Duration::ZERO, |_| {
            watch_wait(&state, subject, confirmed_until)
        });
        let result = read(&mut store, subject, position, wait).await;
        // The same watch would be answered with the same changes again.
        let is_unreadable = matches!(result, Err(Error::Malformed(_) | Error::TooLong(_)));
        let must_list = matches!(result, Err(Error::Compacted | Error::Restored))
            || is_unreadable && position.is_some();
        let failed = result.is_err() && !must_list;
        if failed == reachable {
            reachable = !failed;
            match &result {
                Err(cause) if failed => emit(
                    Event::PlatformDown,
                    &[("subject", &subject.prefix()), ("cause", cause)],
                ),
                _ => emit(Event::PlatformUp, &[("subject", &subject.prefix())]),
            }
        }
        if subject == Subject::Upstreams && !must_list {
            state.set_reads_store(result.is_ok());
        }
        match result {
            Ok(items) => {
                let complete = position.is_none();
                let is_again = complete && state.registry.borrow().position().revision > 0;
                let items = if is_again && subject == Subject::Upstreams {
                    add_configuration(&mut store, items).await
                } else {
                    items
                };
                let applied = apply(&state, subject, &items, complete);
                position = applied.then_some(items.position);
                if applied && subject == Subject::Upstreams {
                    confirmed_until = shown_until(&state, sent_at, wait.into(), &items);
                    state.router.record_list_confirmed(confirmed_until);
                }
                if std::mem::take(&mut reads_configurations) {
                    actix_rt::spawn(configuration_history::run(state.clone(), items.clone()));
                }
                // A peer may have listed later changes, which would be missing from the history.
                let is_latest = items.position >= state.registry.borrow().position();
                if reads_history && !is_latest {
                    position = None;
                } else if applied && std::mem::take(&mut reads_history) {
                    state.router.mark_list();
                    actix_rt::spawn(store_history::run(state.clone(), items));
                }
            }
            // Listed without a pause, since changes before the list are unknown, unless the store
            // rejected what follows the last list.
            Err(_) if must_list => {
                position = None;
                if last_list.is_some_and(|at| at.elapsed() < RETRY_PAUSE) {
                    time::sleep(jitter(RETRY_PAUSE)).await;
                }
                continue;
            }
            Err(_) => time::sleep(jitter(RETRY_PAUSE)).await,
        }
        if subject == Subject::Upstreams {
            let pause = if state.is_large_fleet() {
                LARGE_FLEET_PAUSE
            } else {
                UPSTREAM_PAUSE
            };
            time::sleep(jitter(pause)).await;
        }
    }
}

/// Returns the time up to which a response shows all changes, given when it was asked for and how long the store was to wait for one. It may
/// have been long on its way: it is certain only that the store has waited in vain.
fn shown_until(state: &State, sent_at: Timestamp, wait: Span, items: &Items) -> Timestamp {
    let has_waited = items.items.is_empty() && state.router.now().since(sent_at) >= wait;
    if has_waited {
        sent_at + wait
    } else {
        sent_at
    }
}

/// Returns how long the next watch may wait for a change, so that its response confirms the list in time.
fn watch_wait(state: &State, subject: Subject, shown_until: Timestamp) -> Duration {
    if subject == Subject::Configuration || state.is_large_fleet() {
        return WATCH_TIMEOUT;
    }
    let age = state.router.now().since(shown_until).as_duration();
    MAX_CONFIRMATION_AGE.saturating_sub(age).min(WATCH_TIMEOUT)
}

/// Returns whether the upstreams have to be listed again although they are watched.
fn must_list_again(state: &State, subject: Subject, last_list: Option<Instant>) -> bool {
    let is_due = last_list.is_none_or(|at| at.elapsed() >= LIST_INTERVAL);
    subject == Subject::Upstreams && state.must_list.get() && is_due
}

/// Watches after `position`, or lists if there is none.
async fn read(
    store: &mut Store,
    subject: Subject,
    position: Option<Position>,
    wait: Duration,
) -> Result<Items, Error> {
    match position {
        Some(after) => store.watch(subject.prefix(), after, wait).await,
        None => store.list(subject.prefix()).await,
    }
}

/// Adds the items of the configuration to a list of upstreams that is read again: changes of both have the same revisions, so that they show
/// which ones hide no upstream.
async fn add_configuration(store: &mut Store, mut list: Items) -> Items {
    if let Ok(configuration) = store.list(configuration::PREFIX).await {
        if configuration.position.era == list.position.era {
            list.items.extend(configuration.items);
        }
    }
    list
}

/// Applies what was read. Returns false if it must be listed again.
fn apply(state: &Rc<State>, subject: Subject, items: &Items, complete: bool) -> bool {
    match subject {
        Subject::Configuration => {
            let newest = items
                .items
                .iter()
                .filter(|item| item.key == configuration::KEY);
            for bytes in newest.filter_map(|item| item.value.as_ref()) {
                state.offer_configuration(bytes, "store");
            }
            let changes = items.items.iter().filter_map(evacuation_change);
            let changes: Vec<evacuation::Change> = changes.collect();
            state.apply_evacuations(items.position, complete, &changes, "store");
            true
        }
        Subject::Upstreams => {
            let kind = if complete { Kind::Whole } else { Kind::Changes };
            state.apply_upstreams(&items.items, items.position, kind)
        }
    }
}

/// Returns what an item says of the evacuation of a failure domain; `None` if it is another item.
fn evacuation_change(item: &Item) -> Option<evacuation::Change> {
    let domain = item.key.strip_prefix(configuration::EVACUATION_PREFIX)?;
    Some(evacuation::Change {
        domain: domain.into(),
        is_evacuated: item.value.is_some(),
        revision: item.revision,
    })
}

/// Randomizes a pause by up to 20% so that routers started together do not call simultaneously.
fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::thread_rng().gen_range(0.8..1.2))
}
