//! Bounded queues and load shedding by deadline.
//!
//! - [`admission`]: admits a request into the queue of its team or refuses it with a retry time.
//!
//! # Example
//!
//! Admission control comes before the queue of `tsw-grant`: each admitted request either gets a
//! grant or leaves the queue without one.
//!
//! ```
//! use tsw_admit::{AdmissionControl, Refusal};
//! use tsw_base::{name::Team, time::{Span, Timestamp}};
//!
//! let team: Team = "north".parse()?;
//! let at = |millis| Timestamp::ZERO + Span::from_millis(millis);
//! // Each team may queue 256 requests and 16 MB, but this team only 2 requests.
//! let mut admission = AdmissionControl::new(256, 16_000_000);
//! admission.set_queue_limit(&team, 2);
//!
//! let (bytes, deadline) = (1_000, at(5_000));
//! assert_eq!(admission.admit(at(0), &team, bytes, deadline), Ok(()));
//! assert_eq!(admission.admit(at(0), &team, bytes, deadline), Ok(()));
//! let third = admission.admit(at(0), &team, bytes, deadline);
//! assert!(matches!(third, Err(Refusal::QueueFull { .. })));
//!
//! // The first grant takes 100 ms, so the request still in the queue should wait as long.
//! admission.record_grant(at(100), &team, bytes);
//! assert_eq!(admission.expected_wait(at(100), &team), Span::from_millis(100));
//! let late = admission.admit(at(100), &team, bytes, at(150));
//! let retry_after = Span::from_millis(100);
//! assert_eq!(late, Err(Refusal::DeadlineTooSoon { retry_after }));
//!
//! // The caller cancels the second request.
//! admission.record_departure(&team, bytes);
//! assert_eq!(admission.waiting(&team), 0);
//! # Ok::<(), tsw_base::name::Error>(())
//! ```

pub mod admission;

pub use admission::{AdmissionControl, Refusal};
