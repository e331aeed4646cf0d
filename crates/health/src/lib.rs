//! Health of upstreams and streams, and the budgets for extra work.
//!
//! - [`limit`]: the concurrency limit of each upstream from the pace of its streams.
//! - [`pace`]: the usual time to the first token and between tokens; when a stream is stalled.
//! - [`budget`]: bounds hedges and retries to a part of the requests.
//!
//! # Example
//!
//! A stream stalls: it is hedged if the budget allows that, and its upstream gets less work.
//!
//! ```
//! use tsw_base::{name::Upstream, time::{Span, Tick}};
//! use tsw_health::{budget::Budget, limit::{Limits, PERIOD}, pace::{Pace, Stream}};
//!
//! // A service with three upstreams of 8 slots each; two requests in 100 may be hedged.
//! let upstreams: Vec<Upstream> = vec!["a".parse()?, "b".parse()?, "c".parse()?];
//! let (mut limits, mut pace, mut hedges) = (Limits::default(), Pace::default(), Budget::new(2, 1));
//! for upstream in &upstreams {
//!     assert_eq!(limits.set_slots(upstream, 8), 8);
//! }
//!
//! // The streams of a and b send a token every 20 ms; the one of c stops after the second.
//! let mut now = Tick::from_micros(1);
//! let mut streams = upstreams.iter().map(|_| Stream::new(now)).collect::<Vec<_>>();
//! streams.iter().for_each(|_| hedges.earn());
//! for token in 0..20 {
//!     now = now + Span::from_millis(20);
//!     for stream in streams.iter_mut().take(if token < 2 { 3 } else { 2 }) {
//!         stream.progress(now, &mut pace);
//!     }
//! }
//! assert!(!streams[0].stalled(now, &pace) && streams[2].stalled(now, &pace));
//! assert!(hedges.spend(), "the request of c is sent to another upstream as well");
//! assert!(!hedges.spend(), "the budget is used up");
//!
//! // Reports of the grants bring the paces to the home, which keeps the limits.
//! for (upstream, stream) in upstreams.iter().zip(&streams) {
//!     limits.sample(upstream, stream.mean(now).expect("two tokens"));
//! }
//! assert_eq!(limits.tick(now + PERIOD), [(upstreams[2].clone(), 2)]);
//! # Ok::<(), tsw_base::name::Error>(())
//! ```

pub mod budget;
pub mod limit;
pub mod pace;
