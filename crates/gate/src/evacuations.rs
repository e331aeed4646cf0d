//! Applies what the store and peers say of evacuated failure domains.

use tsw_event::{emit, Event};
use tsw_flow::{evacuation, registry::Position};

use crate::state::State;

impl State {
    /// Applies what the store or a peer says of evacuations as of a position, see [`Evacuations::apply`](evacuation::Evacuations::apply).
    pub fn apply_evacuations(
        &self,
        position: Position,
        complete: bool,
        changes: &[evacuation::Change],
        source: &str,
    ) {
        let mut evacuations = self.evacuations.borrow_mut();
        let before = evacuations.domains().clone();
        if !evacuations.apply(position, complete, changes) {
            return;
        }
        let domains = evacuations.domains().clone();
        drop(evacuations);
        for domain in domains.symmetric_difference(&before) {
            let event = if domains.contains(domain) {
                Event::DomainEvacuated
            } else {
                Event::DomainReturned
            };
            let revision = position.revision;
            emit(
                event,
                &[
                    ("domain", domain),
                    ("source", &source),
                    ("revision", &revision),
                ],
            );
        }
        self.router.set_evacuated(domains);
    }
}
