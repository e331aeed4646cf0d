//! Brings the list of upstreams up to date at a request's demand.
//!
//! A watch delivers changes with a delay, and another router may know a change earlier. Before the past of a stream is
//! derived from the list, the changes up to the present are read.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::{sync::Mutex, time};
use tsw_base::time::{Span, Timestamp};
use tsw_event::{emit, Event};
use tsw_platform::{store::Store, upstream};

use crate::{list::Kind, peer_sync, state::State};

/// Minimum time between two reads, in a small and in a large fleet. Requests that arrive meanwhile wait for
/// the next one.
const INTERVAL: Span = Span::from_millis(100);
const LARGE_FLEET_INTERVAL: Span = Span::from_millis(600);
/// Time limit of a read.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Interval at which pauses of the process are looked for.
const PAUSE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of reads after a pause.
const READS_AFTER_PAUSE: usize = 2;

/// Brings the list up to date after each pause of the process, until the process ends.
pub async fn run_after_pauses(state: Rc<State>) {
    loop {
        if state.router.record_running() {
            let mut is_current = false;
            for _ in 0..READS_AFTER_PAUSE {
                is_current = is_current || state.list_check.run(&state).await;
            }
            if !is_current {
                let cause = "neither the store nor all routers answer after a pause";
                emit(Event::ListCheckFailed, &[("cause", &cause)]);
            }
            state.router.record_list_read();
        }
        time::sleep(PAUSE_INTERVAL).await;
    }
}

/// What is read if the store does not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fallback {
    /// The other routers.
    Routers,
    /// Nothing.
    None,
}

/// The latest read.
#[derive(Debug)]
pub struct ListCheck {
    fallback: Fallback,
    store: Mutex<Option<Store>>,
    /// When it began, and whether all changes until then are known.
    latest: Cell<(Timestamp, bool)>,
    /// When the latest read ended that failed and has no fallback.
    failed_at: Cell<Timestamp>,
}

impl ListCheck {
    /// Creates a check that has read nothing.
    #[must_use]
    pub fn new(fallback: Fallback) -> Self {
        Self {
            fallback,
            store: Mutex::default(),
            latest: Cell::default(),
            failed_at: Cell::default(),
        }
    }

    /// Reads the changes of the list up to a time after this call, and returns whether they are known.
    pub async fn run(&self, state: &State) -> bool {
        let asked_at = state.router.now();
        let mut store = self.store.lock().await;
        let (began, is_current) = self.latest.get();
        // A store that has just failed to answer is not read again for each router that asks for it.
        let is_answered = began >= asked_at || !is_current && self.failed_at.get() >= asked_at;
        if is_answered {
            return is_current;
        }
        let interval = if state.is_large_fleet() {
            LARGE_FLEET_INTERVAL
        } else {
            INTERVAL
        };
        let pause = (began + interval).since(state.router.now());
        time::sleep(pause.as_duration()).await;
        let began = state.router.now();
        let store = store.get_or_insert_with(|| Store::new(state.settings.borrow().store));
        let read = time::timeout(TIMEOUT, read(state, store)).await;
        let is_read = read.unwrap_or(false);
        if is_read {
            state.router.record_list_confirmed(began);
        }
        let is_current =
            is_read || self.fallback == Fallback::Routers && read_from_routers(state, began).await;
        if is_current {
            state.router.record_list_complete(began);
        }
        self.latest.set((began, is_current));
        if !is_current && self.fallback == Fallback::None {
            self.failed_at.set(state.router.now());
        }
        is_current
    }
}

/// Reads the list from the other routers, and returns whether this one knows each change by which another one can have begun a stream. In a
/// large fleet, that is what the routers tell that learn first of changes.
///
/// What they stated before does not show that: a router that is cut off, or whose peers are lost, takes them for live for some
/// time, and hears of no change.
async fn read_from_routers(state: &State, began: Timestamp) -> bool {
    let cause = match peer_sync::read_all(state).await {
        peer_sync::Answer::Read => {
            state.router.record_list_confirmed(began);
            return true;
        }
        peer_sync::Answer::Missing => "a router that may know later changes does not answer",
        peer_sync::Answer::Known { .. } if !state.knows_what_peers_know() => {
            "a router may know later changes"
        }
        peer_sync::Answer::Known { routers } => {
            let revision = state.registry.borrow().position().revision;
            let fields: &[(&'static str, &dyn std::fmt::Display)] =
                &[("revision", &revision), ("routers", &routers)];
            emit(Event::ListAssumed, fields);
            return true;
        }
    };
    emit(Event::ListCheckFailed, &[("cause", &cause)]);
    false
}

/// Reads and applies the changes since the latest list, and returns whether that succeeded.
async fn read(state: &State, store: &mut Store) -> bool {
    let known = state.registry.borrow().position();
    match store.watch(upstream::PREFIX, known, Duration::ZERO).await {
        Ok(items) => state.apply_upstreams(&items.items, items.position, Kind::Changes),
        Err(cause) => {
            emit(Event::ListCheckFailed, &[("cause", &cause)]);
            false
        }
    }
}
