//! Choices that follow from a view: homes, configuration readers, witnesses, caller addresses.

use tsw_base::{host, name};

use crate::{
    message::State,
    rendezvous,
    view::{Peer, View},
};

/// Routers of a failure domain that watch the configuration service.
pub const READERS: usize = 2;

impl View {
    /// Returns the state of a host, if it is in the host list or this router.
    #[must_use]
    pub fn state(&self, host: &name::Host) -> Option<State> {
        if *host == self.me.id.host {
            return Some(self.me.state);
        }
        self.peers.get(host).map(Peer::state)
    }

    /// Returns the known run of the process on a host.
    #[must_use]
    pub fn id(&self, host: &name::Host) -> Option<&host::Id> {
        if *host == self.me.id.host {
            return Some(&self.me.id);
        }
        let peer = self.peers.get(host).filter(|peer| peer.is_known())?;
        Some(&peer.statement.id)
    }

    /// Returns every peer in the host list with its failure domain and state.
    pub fn peers(&self) -> impl Iterator<Item = (&host::Id, &name::Domain, State)> {
        self.peers.values().map(|peer| {
            let statement = &peer.statement;
            (&statement.id, &statement.domain, peer.state())
        })
    }

    /// Returns the hosts that take new work, with their failure domains, this router included.
    ///
    /// A suspect counts as long as it is not dead, so that a short pause moves no home.
    pub fn takers(&self) -> impl Iterator<Item = (&name::Host, &name::Domain)> {
        let mine = self.listed.unwrap_or(true) && self.me.state == State::Alive;
        let me = mine.then_some((&self.me.id.host, &self.me.domain));
        let peers = self.peers.iter().filter(|(_, peer)| takes(peer));
        let peers = peers.map(|(host, peer)| (host, &peer.statement.domain));
        me.into_iter().chain(peers)
    }

    /// Returns the home of a group of a service, or nothing when no host takes new work.
    ///
    /// Costs one hash for each host; keep the result until [`View::epoch`] changes.
    #[must_use]
    pub fn home(&self, service: &name::Service, group: u32) -> Option<&name::Host> {
        let purpose = rendezvous::home_purpose(service, group);
        rendezvous::choose(purpose, self.takers().map(|(host, _)| host))
    }

    /// Returns the routers of a failure domain that watch the configuration service, at most
    /// [`READERS`].
    #[must_use]
    pub fn readers(&self, domain: &name::Domain) -> Vec<&name::Host> {
        let members = self.takers().filter(|(_, other)| *other == domain);
        let mut hosts: Vec<&name::Host> = members.map(|(host, _)| host).collect();
        hosts.sort_by_key(|host| std::cmp::Reverse(rendezvous::weight(0, host.as_str())));
        hosts.truncate(READERS);
        hosts
    }

    /// Tells whether this router watches the configuration service.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.readers(&self.me.domain).contains(&&self.me.id.host)
    }

    /// Returns up to `count` peers as witnesses of a permit, the best first: in other failure
    /// domains than this router and than each other where that is possible. The choice differs
    /// between routers, and between values of `choice` in one router; it changes only when one of
    /// the witnesses or a better one does.
    #[must_use]
    pub fn witnesses(&self, count: usize, choice: u64) -> Vec<host::Id> {
        let salt = rendezvous::weight(choice, self.me.id.host.as_str());
        let mut pool: Vec<&Peer> = self
            .peers
            .values()
            .filter(|peer| peer.is_known() && peer.state() == State::Alive)
            .collect();
        let mut chosen: Vec<&Peer> = Vec::new();
        while chosen.len() < count {
            let best = pool.iter().enumerate().max_by_key(|(_, peer)| {
                let domain = &peer.statement.domain;
                let apart = *domain != self.me.domain;
                let fresh = chosen.iter().all(|other| other.statement.domain != *domain);
                let weight = rendezvous::weight(salt, peer.statement.id.host.as_str());
                (apart, fresh, weight)
            });
            let Some((index, _)) = best else {
                break;
            };
            chosen.push(pool.swap_remove(index));
        }
        chosen
            .into_iter()
            .map(|peer| peer.statement.id.clone())
            .collect()
    }
}

fn takes(peer: &Peer) -> bool {
    let up = matches!(peer.state(), State::Alive | State::Suspect);
    up && !peer.leaving && !peer.list_leaving
}
