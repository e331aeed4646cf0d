//! Statements that are passed on with the probes.

use std::collections::VecDeque;

use tsw_base::name;

use crate::timing;

/// Hosts with recent changes, each with the number of times it is still to be passed on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gossip {
    queue: VecDeque<(name::Host, u32)>,
}

impl Gossip {
    /// Passes on the state of `host` from now on, in a fleet of `hosts` hosts.
    pub(crate) fn push(&mut self, host: &name::Host, hosts: usize) {
        self.queue.retain(|(queued, _)| queued != host);
        if self.queue.len() >= timing::BACKLOG {
            self.queue.pop_back();
        }
        // Three times the binary logarithm reaches every host with high probability.
        let sends = 3 * (usize::BITS - hosts.leading_zeros());
        self.queue.push_front((host.clone(), sends.max(1)));
    }

    /// Takes the hosts whose state goes into the next message.
    pub(crate) fn take(&mut self) -> Vec<name::Host> {
        let mut taken = Vec::new();
        for _ in 0..self.queue.len().min(timing::UPDATES) {
            let Some((host, sends)) = self.queue.pop_front() else {
                break;
            };
            if sends > 1 {
                self.queue.push_back((host.clone(), sends - 1));
            }
            taken.push(host);
        }
        taken
    }
}
