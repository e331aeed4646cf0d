//! Dissemination of recent member updates by piggybacking them on probes.

use std::collections::VecDeque;

use tsw_base::name;

use crate::timing;

/// Hosts with recent changes, each with the number of times that its state is still to be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gossip {
    queue: VecDeque<(name::Host, u32)>,
}

impl Gossip {
    /// Queues the state of `host` for dissemination in a fleet of `hosts` hosts.
    pub(crate) fn enqueue(&mut self, host: &name::Host, hosts: usize) {
        self.queue.retain(|(queued, _)| queued != host);
        if self.queue.len() >= timing::MAX_QUEUED {
            self.queue.pop_back();
        }
        // About 3 * log2(hosts) transmissions reach every host with high probability.
        let remaining = 3 * (usize::BITS - hosts.leading_zeros());
        self.queue.push_front((host.clone(), remaining.max(1)));
    }

    /// Returns the hosts whose states go into the next message.
    pub(crate) fn next_batch(&mut self) -> Vec<name::Host> {
        let mut batch = Vec::new();
        for _ in 0..self.queue.len().min(timing::MAX_UPDATES) {
            let Some((host, remaining)) = self.queue.pop_front() else {
                break;
            };
            if remaining > 1 {
                self.queue.push_back((host.clone(), remaining - 1));
            }
            batch.push(host);
        }
        batch
    }
}
