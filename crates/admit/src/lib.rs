//! Bounded queues and load shedding by deadline.
//!
//! - [`gate`]: admits a request into the queue of its team or says when to try again.

pub mod gate;
