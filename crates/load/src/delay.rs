//! Runs actions at a given time with better than a tenth of a millisecond of precision.
//!
//! The timers of the asynchronous runtime have a resolution of one millisecond, which is too coarse
//! for one-way delays of 0.5 ms. One thread with a condition variable serves all delays.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

type Action = Box<dyn FnOnce() + Send>;

struct Entry {
    due: Instant,
    seq: u64,
    action: Action,
}

impl Eq for Entry {}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.due, self.seq).cmp(&(other.due, other.seq))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Default)]
struct Queue {
    entries: BinaryHeap<Reverse<Entry>>,
    seq: u64,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A handle to the thread that runs delayed actions. The thread lives as long as the process.
#[derive(Clone)]
pub struct Timer {
    shared: Arc<Shared>,
}

impl Timer {
    /// Starts the thread.
    #[must_use]
    pub fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let served = Arc::clone(&shared);
        thread::spawn(move || serve(&served));
        Self { shared }
    }

    /// Runs `action` on the clock's thread at `due`; actions of equal time run in order of arrival.
    pub fn schedule(&self, due: Instant, action: impl FnOnce() + Send + 'static) {
        let mut queue = self.shared.lock();
        queue.seq += 1;
        let entry = Entry {
            due,
            seq: queue.seq,
            action: Box::new(action),
        };
        let first = queue.entries.peek().is_none_or(|Reverse(e)| due < e.due);
        queue.entries.push(Reverse(entry));
        if first {
            self.shared.changed.notify_one();
        }
    }

    /// Waits for `delay`.
    pub async fn sleep(&self, delay: Duration) {
        if delay.is_zero() {
            return;
        }
        let (done, wait) = oneshot::channel();
        self.schedule(Instant::now() + delay, move || {
            let _ = done.send(());
        });
        let _ = wait.await;
    }
}

fn serve(shared: &Shared) {
    let mut queue = shared.lock();
    loop {
        let now = Instant::now();
        match queue.entries.peek().map(|Reverse(entry)| entry.due) {
            None => {
                queue = shared
                    .changed
                    .wait(queue)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            Some(due) if due > now => {
                let waited = shared.changed.wait_timeout(queue, due - now);
                queue = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
            Some(_) => {
                let entry = queue.entries.pop();
                drop(queue);
                if let Some(Reverse(entry)) = entry {
                    (entry.action)();
                }
                queue = shared.lock();
            }
        }
    }
}
