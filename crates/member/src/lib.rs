//! Membership of the router fleet: the host list combined with probes between routers.
//!
//! Membership affects load balancing and the choice of homes. Safety does not depend on it.
//!
//! - [`view`]: [`View`], a state machine that takes events and returns commands.
//! - [`event`]: the events and commands.
//! - [`choice`]: the homes, configuration readers and witnesses that a view selects.
//! - [`rendezvous`]: the hash by which they are selected.
//! - [`message`]: the payloads [`Ping`], [`Ack`] and [`Update`].
//! - [`roster`]: membership by gossip alone, where no host list exists.
//! - [`audience`]: the recipients and the interval of a router's activity reports.
//! - [`timing`]: intervals, timeouts and limits.
//!
//! # Example
//!
//! Two routers discover each other and agree on the home of a group. Then one of them stops.
//!
//! ```
//! use std::collections::{BTreeMap, VecDeque};
//! use tsw_base::{host, name, time::{Span, Timestamp}};
//! use tsw_member::{Command, Event, ListedRouter, State, Timing, View};
//!
//! /// Delivers a tick to all views and executes their commands.
//! fn tick(views: &mut BTreeMap<name::Host, View>, now: Timestamp) {
//!     let mut inbox: VecDeque<_> = views.keys().map(|host| (host.clone(), Event::Tick)).collect();
//!     while let Some((host, event)) = inbox.pop_front() {
//!         // A message to a process that stopped is lost.
//!         let Some(view) = views.get_mut(&host) else { continue };
//!         for command in view.handle(now, event) {
//!             let from = host.clone();
//!             match command {
//!                 Command::Ping { to, ping } => inbox.push_back((to, Event::Ping { from, ping })),
//!                 Command::Ack { to, ack } => inbox.push_back((to, Event::Ack { from, ack })),
//!                 // A caller logs it, and ends what is in flight with a peer that is dead.
//!                 Command::Changed(_) => {}
//!                 // A caller stops the process, or fetches the bundle or host list from the peer.
//!                 Command::Superseded { .. } | Command::FetchNewer { .. } => {}
//!             }
//!         }
//!     }
//! }
//!
//! let (r1, r2): (name::Host, name::Host) = ("r1".parse()?, "r2".parse()?);
//! let domain: name::Domain = "north".parse()?;
//! let listed = |host: name::Host| ListedRouter { host, domain: domain.clone(), leaving: false };
//! let mut views = BTreeMap::new();
//! for host in [&r1, &r2] {
//!     let id = host::Id { host: host.clone(), incarnation: host::Incarnation::new(1, 0) };
//!     let mut view = View::new(id, domain.clone(), Timing::default(), 7);
//!     let hosts = vec![listed(r1.clone()), listed(r2.clone())];
//!     view.handle(Timestamp::ZERO, Event::Hosts { revision: 1, hosts });
//!     views.insert(host.clone(), view);
//! }
//! let mut now = Timestamp::from_micros(1);
//! tick(&mut views, now);
//! let service = "reviews".parse()?;
//! assert!(views[&r1].id(&r2).is_some(), "the answer to the probe holds the incarnation of r2");
//! assert_eq!(views[&r1].home(&service, 0), views[&r2].home(&service, 0));
//!
//! views.remove(&r2);
//! for _ in 0..40 {
//!     now = now + Span::from_millis(50);
//!     tick(&mut views, now);
//! }
//! assert_eq!(views[&r1].state(&r2), Some(State::Dead));
//! assert_eq!(views[&r1].home(&service, 0), Some(&r1));
//! # Ok::<(), name::Error>(())
//! ```

pub mod audience;
pub mod choice;
pub mod event;
mod gossip;
pub mod message;
mod probe;
pub mod rendezvous;
pub mod roster;
pub mod sequence;
pub mod timing;
pub mod view;

pub use event::{Change, Command, Event, ListedRouter};
pub use message::{Ack, Ping, State, Update};
pub use timing::Timing;
pub use view::View;
