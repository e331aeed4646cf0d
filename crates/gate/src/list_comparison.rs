//! Compares the list of upstreams with those of other routers.
//!
//! All routers that have applied the changes up to the same revision list the same upstreams. A difference shows that one
//! of them has missed a change, so that this one lists the upstreams again.

use std::{rc::Rc, time::Duration};

use rand::seq::IteratorRandom;
use tokio::time;
use tsw_event::{emit, Event};
use tsw_flow::registry::Position;
use tsw_member::roster::Member;

use crate::{peer_sync, state::State, store_copy::Digest};

/// Interval of the comparisons with a random router. Routers that read from others also compare after each read.
const INTERVAL: Duration = Duration::from_secs(5);
/// Time limit of a read.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Compares the list with that of a random router at times, until the process ends.
pub async fn run(state: Rc<State>) {
    loop {
        time::sleep(INTERVAL).await;
        let Some(peer) = random_peer(&state) else {
            continue;
        };
        let known = peer_sync::known_revisions(&state, &peer);
        // The next read shows a router that does not answer.
        let read = time::timeout(TIMEOUT, peer_sync::fetch(peer.control, &known, false)).await;
        if let Ok(Ok(delta)) = read {
            let position = Position {
                era: delta.era,
                revision: delta.revision,
            };
            compare(&state, &peer, position, delta.digest);
        }
    }
}

fn random_peer(state: &State) -> Option<Member> {
    let roster = state.roster.borrow();
    let live = roster.live(state.router.now());
    live.choose(&mut rand::thread_rng()).cloned()
}

/// Compares the list with that of another router at a position. Nothing is compared at different positions.
pub fn compare(state: &State, peer: &Member, position: Position, stated: Option<Digest>) {
    let Some(stated) = stated else { return };
    if position != state.registry.borrow().position() {
        return;
    }
    let digest = state.store_copy.borrow().digest(position.revision);
    let result = if digest == stated {
        "same"
    } else {
        "different"
    };
    let comparisons = &state.router.metrics.list_comparisons;
    comparisons.with_label_values(&[result]).inc();
    if digest != stated {
        let fields: &[(&'static str, &dyn std::fmt::Display)] = &[
            ("peer", &peer.host),
            ("revision", &position.revision),
            ("entries", &digest.entries),
            ("peer_entries", &stated.entries),
        ];
        emit(Event::ListDiffers, fields);
        state.must_list.set(true);
    }
}
