//! Reads the platform's store.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use rand::Rng;
use tokio::time;
use tsw_event::{emit, Event};
use tsw_platform::{
    configuration,
    store::{Error, Items, Store},
    upstream,
};

use crate::gate::Gate;

/// Longest wait of one watch. A watch whose connection has gone silent is noticed after this time
/// and the time for an answer, well within the time in which a configuration has to be in force.
const WATCH: Duration = Duration::from_millis(900);
/// Pause after a watch of the upstreams, so that many changes in a row are read together.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(100);
/// The same pause in a large fleet, where an upstream changes its entry every few milliseconds. Several
/// routers read in turn, and the others read the one that knows most. A leaving upstream serves for
/// two seconds or longer; gossip takes half of that.
const LARGE_PAUSE: Duration = Duration::from_millis(600);
/// Period of the reads of a router that learns changes from its peers. It only tells a router that
/// became cut off from the store, which it learns as well when its turn to watch comes.
const SELDOM: Duration = Duration::from_secs(60);
/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(250);

/// What a task reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// The operators' configuration.
    Configuration,
    /// The entries of upstreams.
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

/// Reads a subject until the process ends.
pub async fn run(gate: Rc<Gate>, subject: Subject) {
    let mut store = Store::new(gate.settings.borrow().store);
    let mut revision = 0;
    let mut reachable = true;
    let mut last = Instant::now();
    loop {
        while revision > 0 && !gate.is_reader() && last.elapsed() < SELDOM {
            time::sleep(jitter(RETRY)).await;
        }
        last = Instant::now();
        let result = step(&mut store, subject, revision).await;
        let lost = !matches!(result, Ok(_) | Err(Error::Compacted));
        if lost == reachable {
            reachable = !lost;
            match &result {
                Err(cause) if lost => emit(
                    Event::PlatformDown,
                    &[("subject", &subject.prefix()), ("cause", cause)],
                ),
                _ => emit(Event::PlatformUp, &[("subject", &subject.prefix())]),
            }
        }
        if subject == Subject::Upstreams && !matches!(result, Err(Error::Compacted)) {
            gate.set_reads_store(result.is_ok());
        }
        match result {
            Ok((items, complete)) => {
                revision = items.revision;
                take(&gate, subject, &items, complete);
            }
            Err(Error::Compacted) => revision = 0,
            Err(_) => time::sleep(jitter(RETRY)).await,
        }
        if subject == Subject::Upstreams {
            let pause = if gate.is_large() {
                LARGE_PAUSE
            } else {
                UPSTREAM_PAUSE
            };
            time::sleep(jitter(pause)).await;
        }
    }
}

async fn step(store: &mut Store, subject: Subject, revision: u64) -> Result<(Items, bool), Error> {
    if revision == 0 {
        Ok((store.list(subject.prefix()).await?, true))
    } else {
        let items = store.watch(subject.prefix(), revision, WATCH).await?;
        Ok((items, false))
    }
}

fn take(gate: &Rc<Gate>, subject: Subject, items: &Items, complete: bool) {
    match subject {
        Subject::Configuration => {
            let newest = items
                .items
                .iter()
                .filter(|item| item.key == configuration::KEY);
            for bytes in newest.filter_map(|item| item.value.as_ref()) {
                gate.offer(bytes, "store");
            }
        }
        Subject::Upstreams => {
            gate.set_items(&items.items);
            if complete {
                gate.complete(&items.items, items.revision);
            }
            gate.registry.borrow_mut().advance(items.revision);
            gate.apply_entries();
        }
    }
}

/// Spreads a pause so that routers that start together do not call together.
fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::thread_rng().gen_range(0.8..1.2))
}
