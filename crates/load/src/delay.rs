//! A timer that runs actions with a precision of better than 0.1 ms.
//!
//! The timers of the asynchronous runtime have a resolution of 1 ms, which is too coarse for
//! one-way delays of 0.5 ms. One thread that waits on a condition variable runs all actions.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

type Action = Box<dyn FnOnce() + Send>;

struct Scheduled {
    due: Instant,
    /// Keeps actions that are due at the same time in the order in which they were scheduled.
    seq: u64,
    action: Action,
}

impl Eq for Scheduled {}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.due, self.seq).cmp(&(other.due, other.seq))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Default)]
struct Queue {
    entries: BinaryHeap<Reverse<Scheduled>>,
    last_seq: u64,
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

/// Handle of the timer thread, which runs until the process ends.
#[derive(Clone)]
pub struct Timer {
    shared: Arc<Shared>,
}

impl Timer {
    /// Starts the timer thread.
    #[must_use]
    pub fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let thread_shared = Arc::clone(&shared);
        thread::spawn(move || run(&thread_shared));
        Self { shared }
    }

    /// Runs `action` on the timer thread at `due`. Actions that are due at the same time run in the
    /// order in which they were scheduled.
    pub fn schedule(&self, due: Instant, action: impl FnOnce() + Send + 'static) {
        let mut queue = self.shared.lock();
        queue.last_seq += 1;
        let entry = Scheduled {
            due,
            seq: queue.last_seq,
            action: Box::new(action),
        };
        let is_earliest = queue.entries.peek().is_none_or(|Reverse(e)| due < e.due);
        queue.entries.push(Reverse(entry));
        if is_earliest {
            self.shared.changed.notify_one();
        }
    }

    /// Waits for `delay`.
    pub async fn sleep(&self, delay: Duration) {
        if delay.is_zero() {
            return;
        }
        let (done, elapsed) = oneshot::channel();
        self.schedule(Instant::now() + delay, move || {
            let _ = done.send(());
        });
        let _ = elapsed.await;
    }
}

fn run(shared: &Shared) {
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
