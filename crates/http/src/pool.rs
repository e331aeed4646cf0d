//! Idle connections to upstreams.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{connection::Connection, exchange::Reusable};

/// Idle time after which a connection is closed if the upstream states no time.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Part of a stated idle time for which a connection is kept, so that the upstream does not close
/// it while a request is on its way.
const IDLE_PART: f64 = 0.6;
/// Most idle connections kept for one upstream, whatever its limit: more requests than that are
/// rarely in progress at one upstream.
const MAX_IDLE: usize = 64;

struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool(IndexMap<SocketAddr, Vec<Idle>>);

impl Pool {
    /// Takes a connection on which nothing arrived since its last use, the latest used first.
    pub fn take(&mut self, address: SocketAddr, now: Instant) -> Option<Connection> {
        let idle = self.0.get_mut(&address)?;
        while let Some(found) = idle.pop() {
            if found.until > now && found.connection.is_idle() {
                return Some(found.connection);
            }
        }
        None
    }

    /// Keeps a connection for later requests unless `most` idle ones are kept already. The upstream
    /// resets connections beyond its limit, which all routers share.
    pub fn put(&mut self, address: SocketAddr, reusable: Reusable, now: Instant, most: usize) {
        let stated = reusable.idle.map(|idle| idle.mul_f64(IDLE_PART));
        let idle = self.0.entry(address).or_default();
        if idle.len() < most.min(MAX_IDLE) {
            idle.push(Idle {
                connection: reusable.connection,
                until: now + stated.unwrap_or(DEFAULT_IDLE),
            });
        }
    }

    /// Closes the connections whose time is over and forgets addresses without a connection.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, idle| {
            idle.retain(|found| found.until > now);
            !idle.is_empty()
        });
    }

    /// Closes the idle connections to an address, for example because its upstream ended.
    pub fn clear(&mut self, address: SocketAddr) {
        self.0.swap_remove(&address);
    }
}
