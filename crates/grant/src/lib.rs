//! Scheduling of requests onto upstream slots.
//!
//! An entry router advertises its waiting requests (demand) to the homes of a service. The home of
//! an upstream answers with grants, each of which allows one request to use one slot.
//!
//! - [`entry`]: queue of waiting requests at an entry router; sends demand and uses grants.
//! - [`home`]: scheduler that assigns free slots to waiting requests.
//! - [`message`]: messages between entry routers and homes.
//!
//! # Example
//!
//! One router acts as both entry router and home. Between different routers, messages travel over
//! sessions that preserve their order; the `to` field of a command is the recipient.
//!
//! ```
//! use std::collections::VecDeque;
//! use tsw_base::{host, time::{Span, Timestamp}};
//! use tsw_grant::{entry, home, message, Home, Queue};
//!
//! let me = host::Id { host: "r1".parse()?, incarnation: host::Incarnation::new(1, 0) };
//! let mut queue = Queue::new("reviews".parse()?, 0, entry::Options::default());
//! let mut home = Home::new("reviews".parse()?, me.incarnation, home::Options::default());
//! let now = Timestamp::from_micros(1_000_000);
//!
//! // The configuration and the host list supply shares, live routers and upstreams.
//! let shares = vec![("north".parse()?, 1_000_000)];
//! home.handle(now, home::Event::Shares { slots: 1, shares });
//! home.handle(now, home::Event::Routers { live: vec![me.clone()] });
//! home.handle(now, home::Event::Upstream { upstream: "engine-1".parse()?, slots: 1, limit: 1 });
//! let upstreams = vec![("engine-1".parse()?, me.clone())];
//! let mut commands = VecDeque::from(queue.handle(now, entry::Event::Homes { upstreams }));
//!
//! // Enqueue an admitted request. The caller chooses its number.
//! let (request, class, team) = (message::Request(7), message::Class::Short, "north".parse()?);
//! let deadline = now + Span::from_secs(5);
//! let push = entry::Event::Push { request, team, class, deadline, avoid: None, cost: 0 };
//! commands.extend(queue.handle(now, push));
//!
//! let mut runs = Vec::new();
//! while let Some(command) = commands.pop_front() {
//!     let from = me.clone();
//!     let event = match command {
//!         entry::Command::Demand { demand, .. } => home::Event::Demand { from, demand },
//!         entry::Command::Release { release, .. } => home::Event::Release { from, release },
//!         entry::Command::Holdings { holdings, .. } => home::Event::Holdings { from, holdings },
//!         entry::Command::Expire { .. } => continue, // reject the request as not run
//!         entry::Command::Run { request, grant, .. } => {
//!             // Send the request to the upstream here. `Event::End` releases the slot.
//!             runs.push(request);
//!             let state = message::State::Finished { token_latency: None };
//!             commands.extend(queue.handle(now, entry::Event::End { grant, state }));
//!             continue;
//!         }
//!     };
//!     for command in home.handle(now, event) {
//!         let home::Command::Grant { grant, .. } = command else { continue };
//!         let grant = entry::Event::Grant { from: me.clone(), grant };
//!         commands.extend(queue.handle(now, grant));
//!     }
//! }
//! assert_eq!(runs, [request]);
//! assert_eq!((queue.running(), home.running()), (0, 0));
//! # Ok::<(), tsw_base::name::Error>(())
//! ```

pub mod entry;
pub mod home;
pub mod message;

pub use entry::Queue;
pub use home::Home;
