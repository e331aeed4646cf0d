//! Requests that crash the upstreams that run them.
//!
//! - [`watch`]: [`Watch`], the state machine; events in, commands out.
//! - [`breaks`]: whether broken connections tell something about a request.
//! - [`fingerprint`]: what identifies a request.
//! - [`message`]: payload of [`Suspect`].
//!
//! # Example
//!
//! Two routers see a request crash two upstreams, and then refuse it.
//!
//! ```
//! use tsw_base::{name::Upstream, time::{Span, Tick}};
//! use tsw_poison::{watch::Event, Command, Fingerprint, Treatment, Watch};
//!
//! /// Gives an event to a router and its findings to the other one.
//! fn handle(now: Tick, router: &mut Watch, other: &mut Watch, event: Event) {
//!     for command in router.handle(now, event) {
//!         match command {
//!             Command::Broadcast(suspect) => drop(other.handle(now, Event::Message(suspect))),
//!             Command::Confirmed(_) => {} // for the log
//!         }
//!     }
//! }
//!
//! let (team, service) = ("north".parse()?, "reviews".parse()?);
//! let fingerprint = Fingerprint::of(&team, &service, "/v1/generate", b"a prompt");
//! let (mut first, mut second) = (Watch::default(), Watch::default());
//! let mut now = Tick::from_micros(1);
//! let upstream: Upstream = "engine-1".parse()?;
//! let started = Event::Started { fingerprint, upstream: upstream.clone() };
//! handle(now, &mut first, &mut second, started);
//! handle(now, &mut first, &mut second, Event::Crashed { upstream });
//! // The caller tries again at the second router, which lets it run alone on an upstream.
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

pub mod breaks;
pub mod fingerprint;
pub mod message;
pub mod watch;

pub use message::{Finding, Fingerprint, Suspect, Verdict};
pub use watch::{Command, Event, Treatment, Watch};
