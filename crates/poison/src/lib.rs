//! Detection of poison requests: requests that crash the upstreams that run them.
//!
//! - [`detector`]: [`CrashDetector`], a state machine that takes events and returns commands. It
//!   detects equal requests that crash upstreams.
//! - [`cause`]: a state machine that finds what different requests that crash upstreams have in
//!   common, such as a part of their prompts.
//! - [`candidates`]: what may be the cause if a request crashes an upstream.
//! - [`broken_connections`]: decides whether a broken connection is evidence against its request.
//! - [`ended_run`]: [`EndedRun`], a message about a run of an upstream that has ended.
//! - [`fingerprint`]: the hash that identifies a request.
//! - [`message`]: [`Findings`], which routers send each other.
//!
//! # Example
//!
//! A request crashes one upstream at each of two routers, after which both refuse it.
//!
//! ```
//! use tsw_base::{name::Upstream, time::{Span, Timestamp}};
//! use tsw_poison::{detector::Event, Command, Fingerprint, Treatment, CrashDetector};
//!
//! /// Passes an event to a router and its findings to the other router.
//! fn handle(now: Timestamp, router: &mut CrashDetector, other: &mut CrashDetector, event: Event) {
//!     for command in router.handle(now, event) {
//!         match command {
//!             Command::Broadcast(findings) => drop(other.handle(now, Event::Message(findings))),
//!             Command::Confirmed(_) => {} // would be logged
//!         }
//!     }
//! }
//!
//! let (team, service) = ("north".parse()?, "reviews".parse()?);
//! let fingerprint = Fingerprint::of(&team, &service, "/v1/generate", b"a prompt");
//! let (mut first, mut second) = (CrashDetector::default(), CrashDetector::default());
//! let mut now = Timestamp::from_micros(1);
//! let upstream: Upstream = "engine-1".parse()?;
//! let started = Event::Started { fingerprint, upstream: upstream.clone() };
//! handle(now, &mut first, &mut second, started);
//! handle(now, &mut first, &mut second, Event::Crashed { upstream });
//! // The caller retries at the second router, which runs the request alone on an upstream.
//! assert_eq!(second.treatment(now, fingerprint), Treatment::Solo);
//!
//! now = now + Span::from_secs(5);
//! let upstream: Upstream = "engine-2".parse()?;
//! let started = Event::Started { fingerprint, upstream: upstream.clone() };
//! handle(now, &mut second, &mut first, started);
//! handle(now, &mut second, &mut first, Event::Crashed { upstream });
//! for router in [&first, &second] {
//!     assert!(matches!(router.treatment(now, fingerprint), Treatment::Refused { .. }));
//! }
//! # Ok::<(), tsw_base::name::Error>(())
//! ```

pub mod broken_connections;
pub mod candidates;
pub mod cause;
pub mod detector;
pub mod ended_run;
pub mod fingerprint;
pub mod message;

pub use candidates::Candidates;
pub use detector::{Command, CrashDetector, Event, Treatment};
pub use ended_run::EndedRun;
pub use message::{Finding, Findings, Fingerprint, Verdict};
