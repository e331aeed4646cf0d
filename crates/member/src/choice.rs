//! Selection of homes, configuration readers and witnesses from a view.

use tsw_base::{host, name};

use crate::{
    message::State,
    rendezvous,
    view::{Peer, View},
};

/// Number of routers in each failure domain that watch the configuration service.
pub const READERS_PER_DOMAIN: usize = 2;

impl View {
    /// Returns the state of a host that is in the host list or is this router.
    #[must_use]
    pub fn state(&self, host: &name::Host) -> Option<State> {
        if *host == self.me.id.host {
            return Some(self.me.state);
        }
        self.peers.get(host).map(Peer::state)
    }

    /// Returns the identity of the router process on a host, if it is known.
    #[must_use]
    pub fn id(&self, host: &name::Host) -> Option<&host::Id> {
        if *host == self.me.id.host {
            return Some(&self.me.id);
        }
        let peer = self.peers.get(host).filter(|peer| peer.is_known())?;
        Some(&peer.update.id)
    }

    /// Returns every peer in the host list with its failure domain and state.
    pub fn peers(&self) -> impl Iterator<Item = (&host::Id, &name::Domain, State)> {
        self.peers.values().map(|peer| {
            let update = &peer.update;
            (&update.id, &update.domain, peer.state())
        })
    }

    /// Returns the hosts that accept new work with their failure domains, including this router.
    ///
    /// Suspects are included until they are dead, so that a short pause moves no home.
    pub fn available_hosts(&self) -> impl Iterator<Item = (&name::Host, &name::Domain)> {
        let include_self = self.in_host_list.unwrap_or(true) && self.me.state == State::Alive;
        let me = include_self.then_some((&self.me.id.host, &self.me.domain));
        let peers = self.peers.iter().filter(|(_, peer)| is_available(peer));
        let peers = peers.map(|(host, peer)| (host, &peer.update.domain));
        me.into_iter().chain(peers)
    }

    /// Returns the home of a group of a service, or `None` if no host accepts new work.
    ///
    /// Computes one hash per host; callers should cache the result until [`View::epoch`] changes.
    #[must_use]
    pub fn home(&self, service: &name::Service, group: u32) -> Option<&name::Host> {
        let seed = rendezvous::home_seed(service, group);
        rendezvous::choose(seed, self.available_hosts().map(|(host, _)| host))
    }

    /// Returns the routers of a failure domain that watch the configuration service, at most
    /// [`READERS_PER_DOMAIN`].
    #[must_use]
    pub fn readers(&self, domain: &name::Domain) -> Vec<&name::Host> {
        let hosts = self.available_hosts().filter(|(_, other)| *other == domain);
        let mut hosts: Vec<&name::Host> = hosts.map(|(host, _)| host).collect();
        hosts.sort_by_key(|host| std::cmp::Reverse(rendezvous::weight(0, host.as_str())));
        hosts.truncate(READERS_PER_DOMAIN);
        hosts
    }

    /// Returns whether this router watches the configuration service.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.readers(&self.me.domain).contains(&&self.me.id.host)
    }

    /// Returns up to `count` peers as witnesses of a permit, the most preferred first.
    ///
    /// Peers in other failure domains than this router come first, then those in domains without a
    /// chosen witness. The selection differs between routers, and between values of `choice` in one
    /// router. It changes only when a chosen witness or a more preferred peer changes.
    #[must_use]
    pub fn witnesses(&self, count: usize, choice: u64) -> Vec<host::Id> {
        let seed = rendezvous::weight(choice, self.me.id.host.as_str());
        let mut candidates: Vec<&Peer> = self
            .peers
            .values()
            .filter(|peer| peer.is_known() && peer.state() == State::Alive)
            .collect();
        let mut chosen: Vec<&Peer> = Vec::new();
        while chosen.len() < count {
            let best = candidates.iter().enumerate().max_by_key(|(_, peer)| {
                let domain = &peer.update.domain;
                let other_domain = *domain != self.me.domain;
                let unused_domain = chosen.iter().all(|other| other.update.domain != *domain);
                let weight = rendezvous::weight(seed, peer.update.id.host.as_str());
                (other_domain, unused_domain, weight)
            });
            let Some((index, _)) = best else {
                break;
            };
            chosen.push(candidates.swap_remove(index));
        }
        chosen
            .into_iter()
            .map(|peer| peer.update.id.clone())
            .collect()
    }
}

fn is_available(peer: &Peer) -> bool {
    let is_running = matches!(peer.state(), State::Alive | State::Suspect);
    is_running && !peer.leaving && !peer.leaving_in_list
}
