//! Bounded queues and load shedding by deadline.
//!
//! - [`gate`]: admits a request into the queue of its team or says when to try again.
//!
//! # Example
//!
//! The gate stands before the queue of `tsw-grant`: each request that it admits either gets a grant
//! or leaves.
//!
//! ```
//! use tsw_admit::gate::{Gate, Refusal};
//! use tsw_base::{name::Team, time::{Span, Tick}};
//!
//! let team: Team = "north".parse()?;
//! let at = |millis| Tick::ZERO + Span::from_millis(millis);
//! // 256 requests and 16 MB may wait for each team, but 2 requests for this one.
//! let mut gate = Gate::new(256, 16_000_000);
//! gate.set_limit(&team, 2);
//!
//! let (bytes, deadline) = (1_000, at(5_000));
//! assert_eq!(gate.admit(at(0), &team, bytes, deadline), Ok(()));
//! assert_eq!(gate.admit(at(0), &team, bytes, deadline), Ok(()));
//! let third = gate.admit(at(0), &team, bytes, deadline);
//! assert!(matches!(third, Err(Refusal::Full { .. })));
//!
//! // A grant after 100 ms tells how long the request that still waits will take.
//! gate.grant(at(100), &team, bytes);
//! assert_eq!(gate.wait(at(100), &team), Span::from_millis(100));
//! let late = gate.admit(at(100), &team, bytes, at(150));
//! let retry_after = Span::from_millis(100);
//! assert_eq!(late, Err(Refusal::Late { retry_after }));
//!
//! // The second request is cancelled by its caller.
//! gate.leave(&team, bytes);
//! assert_eq!(gate.waiting(&team), 0);
//! # Ok::<(), tsw_base::name::Error>(())
//! ```

pub mod gate;
