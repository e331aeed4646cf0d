//! Connections that wait for a request or for the rest of one, and which of them give way to others.
//!
//! What one client may send is limited, but not how many clients there are. Those that stop half-way hold memory and
//! descriptors until a timeout. If too much is held, the connection that has waited longest is closed: a request that
//! arrives without a break waits for milliseconds only, so that crowds of stalled clients give way to it.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use indexmap::IndexMap;
use tokio::sync::Notify;

/// The connections of a listener.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Connections that wait, by a number that grows with the start of their wait.
    waiting: RefCell<IndexMap<u64, Waiting>>,
    next: Cell<u64>,
    /// All open connections.
    open: Cell<usize>,
}

/// A connection that waits.
#[derive(Debug)]
struct Waiting {
    /// Whether a part of a request has arrived, which takes memory.
    holds_part: bool,
    evicted: Rc<Evicted>,
}

/// Tells a connection that it has to be closed.
#[derive(Debug, Default)]
struct Evicted {
    notify: Notify,
    reason: Cell<Eviction>,
}

/// Why a connection has to be closed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Eviction {
    /// There are too many connections.
    #[default]
    Connections,
    /// A request needs the memory of what has arrived on it.
    Memory,
}

/// An open connection. Dropping it counts the connection as closed.
#[derive(Debug)]
pub struct Open(Rc<Arrivals>);

/// The wait of a connection for the rest of a request. Dropping it ends the wait.
#[derive(Debug)]
pub struct Wait {
    arrivals: Rc<Arrivals>,
    number: u64,
    evicted: Rc<Evicted>,
}

impl Arrivals {
    /// Counts a connection as open. If there are more than `max` then, the one that has waited longest is evicted;
    /// returns `None` if none waits, so that the new one has to be closed.
    ///
    /// ```
    /// use std::rc::Rc;
    /// use tsw_gate::arrival::Arrivals;
    /// let arrivals = Rc::new(Arrivals::default());
    /// let first = arrivals.open(1);
    /// assert!(arrivals.open(1).is_none(), "the first one does not wait");
    /// let _wait = arrivals.wait();
    /// assert!(arrivals.open(1).is_some());
    /// # drop(first);
    /// ```
    #[must_use]
    pub fn open(self: &Rc<Self>, max: usize) -> Option<Open> {
        if self.open.get() >= max && !self.evict(Eviction::Connections) {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(Open(self.clone()))
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.open.get()
    }

    /// Begins the wait of a connection.
    #[must_use]
    pub fn wait(self: &Rc<Self>) -> Wait {
        let number = self.next.get();
        self.next.set(number + 1);
        let evicted = Rc::new(Evicted::default());
        let waiting = Waiting {
            holds_part: false,
            evicted: evicted.clone(),
        };
        self.waiting.borrow_mut().insert(number, waiting);
        Wait {
            arrivals: self.clone(),
            number,
            evicted,
        }
    }

    /// Evicts the connection that has waited longest for the rest of a request, and returns whether there is one.
    /// Idle connections hold no memory.
    pub fn evict_stalled(&self) -> bool {
        self.evict(Eviction::Memory)
    }

    fn evict(&self, reason: Eviction) -> bool {
        let mut all = self.waiting.borrow_mut();
        let is_candidate =
            |waiting: &Waiting| reason == Eviction::Connections || waiting.holds_part;
        let candidates = all.iter().filter(|(_, waiting)| is_candidate(waiting));
        let Some(longest) = candidates.map(|(number, _)| *number).min() else {
            return false;
        };
        if let Some(waiting) = all.swap_remove(&longest) {
            waiting.evicted.reason.set(reason);
            waiting.evicted.notify.notify_one();
        }
        true
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl Wait {
    /// Records that a part of a request has arrived.
    pub fn record_part(&self) {
        let mut waiting = self.arrivals.waiting.borrow_mut();
        if let Some(waiting) = waiting.get_mut(&self.number) {
            waiting.holds_part = true;
        }
    }

    /// Waits until the connection has to be closed for others, and returns why.
    pub async fn evicted(&self) -> Eviction {
        self.evicted.notify.notified().await;
        self.evicted.reason.get()
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.arrivals.waiting.borrow_mut().swap_remove(&self.number);
    }
}
