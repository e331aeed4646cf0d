//! Weighted fair sharing: accounts for the service that each team receives and picks the team to
//! serve next.
//!
//! - [`accounts`]: accounts of the teams of one service at one home.
//! - [`tag`]: the tag of a team, its service divided by its share.
//! - [`message`]: the report that the homes of a service send each other.
//!
//! # Example
//!
//! Two homes of one service, each with a part of its upstreams, report to each other how much
//! service the teams received.
//!
//! ```
//! use tsw_base::{host::Incarnation, name::Team, time::{Span, Timestamp}};
//! use tsw_share::Accounts;
//!
//! let (north, south): (Team, Team) = ("north".parse()?, "south".parse()?);
//! let shares = [(north.clone(), 500_000), (south.clone(), 500_000)];
//! let mut first = Accounts::new("reviews".parse()?, Incarnation::new(1, 0));
//! let mut second = Accounts::new("reviews".parse()?, Incarnation::new(2, 0));
//! for accounts in [&mut first, &mut second] {
//!     // The whole fleet has 16 slots; this home has only a part of them.
//!     accounts.set_shares(16, &shares);
//!     for team in [&north, &south] {
//!         let key = accounts.key(team);
//!         accounts.set_waiting(key, true);
//!     }
//! }
//!
//! // A connection starts with a report of all charges. Later charges are counted from there.
//! let now = Timestamp::from_micros(1_000_000);
//! second.merge(now, &first.full_report());
//! first.merge(now, &second.full_report());
//!
//! // The first home grants a slot to `north`. A charge this large is reported at once.
//! let key = first.key(&north);
//! first.charge(key, Span::from_secs(4));
//! let served = first.due_report(now).expect("the charges changed");
//! second.merge(now, &served);
//! // A duplicate has no effect.
//! second.merge(now, &served);
//!
//! // 4 s of slot time are 4 s / (16 slots x 0.5) of fleet capacity.
//! let key = second.key(&north);
//! assert_eq!(second.lead_us(key), 500_000);
//! let next = second.by_priority().next().expect("two teams wait");
//! assert_eq!(second.team(next), &south);
//! # Ok::<(), tsw_base::name::Error>(())
//! ```

pub mod accounts;
pub mod message;
pub mod tag;

pub use accounts::Accounts;
pub use message::Served;
pub use tag::Tag;
