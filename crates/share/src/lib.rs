//! Service accounting per team and the choice of the most deserving team.
//!
//! - [`book`]: the tags of the teams of one service at one home.
//! - [`tag`]: service divided by share.
//! - [`message`]: what the homes of a service tell each other.
//!
//! # Example
//!
//! Two homes of one service, each with a part of its upstreams, tell each other what teams received.
//!
//! ```
//! use tsw_base::{host::Incarnation, name::Team, time::{Span, Tick}};
//! use tsw_share::book::Book;
//!
//! let (north, south): (Team, Team) = ("north".parse()?, "south".parse()?);
//! let shares = [(north.clone(), 500_000), (south.clone(), 500_000)];
//! let mut first = Book::new("reviews".parse()?, Incarnation::new(1, 0));
//! let mut second = Book::new("reviews".parse()?, Incarnation::new(2, 0));
//! for book in [&mut first, &mut second] {
//!     // 16 slots in the whole fleet, not at this home.
//!     book.set_shares(16, &shares);
//!     for team in [&north, &south] {
//!         let key = book.key(team);
//!         book.set_waiting(key, true);
//!     }
//! }
//!
//! // A session starts with all charges. They are where later charges are counted from.
//! let now = Tick::from_micros(1_000_000);
//! second.merge(now, &first.served());
//! first.merge(now, &second.served());
//!
//! // The first home grants a slot to `north`. Charges are due at once or in the next period.
//! let key = first.key(&north);
//! first.charge(key, Span::from_secs(4));
//! let served = first.due(now).expect("the charges changed");
//! second.merge(now, &served);
//! // A duplicate changes nothing.
//! second.merge(now, &served);
//!
//! // 4 s of slot time are 4 s / (16 slots x 0.5) of fleet capacity.
//! let key = second.key(&north);
//! assert_eq!(second.lead_us(key), 500_000);
//! let next = second.order().next().expect("two teams wait");
//! assert_eq!(second.team(next), &south);
//! # Ok::<(), tsw_base::name::Error>(())
//! ```

pub mod book;
pub mod message;
pub mod tag;
