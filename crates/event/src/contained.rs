//! Futures whose panics end only themselves.
//!
//! The daemon ends on any other panic: of a task that all requests need, and during a change of shared
//! state, see [`suspend`].

use std::{
    any::Any,
    cell::Cell,
    future::{poll_fn, Future},
    panic::{catch_unwind, AssertUnwindSafe},
    pin::pin,
    task::Poll,
};

thread_local! {
    static CONTAINED: Cell<bool> = const { Cell::new(false) };
}

/// Determines until it is dropped whether panics of the thread are contained.
#[derive(Debug)]
pub struct Guard {
    outer: bool,
}

impl Guard {
    fn new(contained: bool) -> Self {
        Self {
            outer: CONTAINED.replace(contained),
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        CONTAINED.set(self.outer);
    }
}

/// Makes panics end the process until the result is dropped, although a contained future is polled. For
/// changes of state that must not be left half done.
#[must_use]
pub fn suspend() -> Guard {
    Guard::new(false)
}

/// Returns whether the thread polls a contained future, so that a panic does not affect others.
#[must_use]
pub fn is_contained() -> bool {
    CONTAINED.get()
}

/// A contained future panicked. A panic hook has already logged why.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the task panicked")]
pub struct Panicked;

impl From<Box<dyn Any + Send>> for Panicked {
    fn from(_: Box<dyn Any + Send>) -> Self {
        Self
    }
}

/// Runs a future and catches its panic. State that it shares with other futures has to stay usable when
/// it is dropped at any point, as it does when the future is cancelled.
///
/// # Errors
///
/// Returns [`Panicked`] if the future panicked.
///
/// ```
/// # actix_rt::System::new().block_on(async {
/// use tsw_event::contained::{self, Panicked};
/// assert_eq!(contained::run(async { 7 }).await, Ok(7));
/// assert_eq!(contained::run(async { panic!("a defect") }).await, Err::<(), _>(Panicked));
/// # });
/// ```
pub async fn run<T>(future: impl Future<Output = T>) -> Result<T, Panicked> {
    let mut future = pin!(future);
    poll_fn(|context| {
        let _guard = Guard::new(true);
        match catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(context))) {
            Ok(Poll::Pending) => Poll::Pending,
            Ok(Poll::Ready(output)) => Poll::Ready(Ok(output)),
            Err(cause) => Poll::Ready(Err(cause.into())),
        }
    })
    .await
}
