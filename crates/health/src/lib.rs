//! Health of upstreams and streams, and the budgets for hedges and retries.
//!
//! - [`limit`]: the concurrency limit of each upstream, from the latency of its requests.
//! - [`latency`]: the typical time to the first token and between tokens, and stall detection.
//! - [`budget`]: limits hedges and retries to a percentage of the requests.
//!
//! # Example
//!
//! A stream stalls. It is hedged if the budget allows, and the limit of its upstream is lowered.
//!
//! ```
//! use tsw_base::{name::Upstream, time::{Span, Timestamp}};
//! use tsw_health::{limit, AttemptBudget, Limits, TokenLatency, Stream};
//!
//! // A service with three upstreams of 8 slots each; two requests in 100 may be hedged.
//! let upstreams: Vec<Upstream> = vec!["a".parse()?, "b".parse()?, "c".parse()?];
//! let (mut limits, mut latency) = (Limits::default(), TokenLatency::default());
//! let mut hedges = AttemptBudget::new(2, 1);
//! for upstream in &upstreams {
//!     assert_eq!(limits.set_slots(upstream, 8), 8);
//! }
//!
//! // The streams of a and b send a token every 20 ms; c stops after its second token.
//! let mut now = Timestamp::from_micros(1);
//! let mut streams = upstreams.iter().map(|_| Stream::new(now)).collect::<Vec<_>>();
//! streams.iter().for_each(|_| hedges.record_request());
//! for token in 0..20 {
//!     now = now + Span::from_millis(20);
//!     for stream in streams.iter_mut().take(if token < 2 { 3 } else { 2 }) {
//!         stream.record_token(now, &mut latency);
//!     }
//! }
//! assert!(!streams[0].is_stalled(now, &latency) && streams[2].is_stalled(now, &latency));
//! assert!(hedges.try_acquire(), "the request of c is sent to another upstream as well");
//! assert!(!hedges.try_acquire(), "the budget is used up");
//!
//! // The reports on the grants carry the latencies to the home, which manages the limits.
//! for (upstream, stream) in upstreams.iter().zip(&streams) {
//!     limits.record_sample(upstream, stream.mean_gap(now).expect("two tokens"));
//! }
//! assert_eq!(limits.update(now + limit::UPDATE_PERIOD), [(upstreams[2].clone(), 2)]);
//! # Ok::<(), tsw_base::name::Error>(())
//! ```

pub mod budget;
pub mod latency;
pub mod limit;

pub use budget::AttemptBudget;
pub use latency::{Stream, TokenLatency};
pub use limit::Limits;
