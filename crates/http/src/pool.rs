//! A pool of idle keep-alive connections to upstreams.

use std::{net::SocketAddr, time::Instant};

use indexmap::IndexMap;
use tsw_base::time::Span;

use crate::{connection::Connection, exchange::ReusableConnection};

/// Idle timeout of a connection if the upstream states none.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_secs(4);
/// Percentage of the upstream's stated idle timeout for which a connection is kept, so that the upstream
/// does not close it while a request is in flight.
const IDLE_TIMEOUT_PERCENT: u64 = 60;
/// Maximum number of idle connections to one upstream, whatever its own limit: an upstream rarely has
/// more requests in progress.
const MAX_IDLE_PER_UPSTREAM: usize = 64;

struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool(IndexMap<SocketAddr, Vec<IdleConnection>>);

impl Pool {
    /// Takes the most recently used connection for a request that has not expired, on which no bytes
    /// arrived, and on which no request with the same identifier was refused.
    pub fn take(&mut self, address: SocketAddr, now: Instant, id: &str) -> Option<Connection> {
        let idle = self.0.get_mut(&address)?;
        let mut index = idle.len();
        while index > 0 {
            index -= 1;
            if idle[index].connection.has_refused(id) {
                continue;
            }
            let found = idle.remove(index);
            if found.expires_at > now && found.connection.is_idle() {
                return Some(found.connection);
            }
        }
        None
    }

    /// Returns whether the peer has closed the most recently used idle connection to an address, although it
    /// has not expired. A peer that ended has closed all of them.
    #[must_use]
    pub fn has_closed(&self, address: SocketAddr, now: Instant) -> bool {
        let last = self.0.get(&address).and_then(|idle| idle.last());
        last.is_some_and(|idle| idle.expires_at > now && !idle.connection.is_idle())
    }

    /// Returns whether a request to an address would get an idle connection, as far as its identifier permits.
    #[must_use]
    pub fn has_idle(&self, address: SocketAddr, now: Instant) -> bool {
        let idle = self.0.get(&address).into_iter().flatten();
        let mut usable = idle.filter(|idle| idle.expires_at > now);
        usable.any(|idle| idle.connection.is_idle())
    }

    /// Adds a connection to the pool unless it already holds `max_idle` connections to the address. The
    /// upstream resets connections beyond its limit, which all routers share.
    pub fn put(
        &mut self,
        address: SocketAddr,
        reusable: ReusableConnection,
        now: Instant,
        max_idle: usize,
    ) {
        let idle_timeout = reusable
            .idle_timeout
            .map(|timeout| timeout.as_span() * IDLE_TIMEOUT_PERCENT / 100);
        let idle = self.0.entry(address).or_default();
        if idle.len() < max_idle.min(MAX_IDLE_PER_UPSTREAM) {
            idle.push(IdleConnection {
                connection: reusable.connection,
                expires_at: now + idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).as_duration(),
            });
        }
    }

    /// Closes expired connections and removes addresses without a connection.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, idle| {
            idle.retain(|found| found.expires_at > now);
            !idle.is_empty()
        });
    }

    /// Closes the idle connections to an address, for example because its upstream has terminated.
    pub fn clear(&mut self, address: SocketAddr) {
        self.0.swap_remove(&address);
    }
}
