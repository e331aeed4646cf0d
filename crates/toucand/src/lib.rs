//! The router process.
//!
//! All decisions are made on one thread: the only worker of the HTTP server, which also runs the
//! link to peers and the timers. [`router::Router::act`] makes a decision; the controllers below
//! read the whole blackboard and write their own sections.
//!
//! - Start and end: [`keys`], [`start`], [`serve`], [`clock`].
//! - State: [`router`], [`state`], [`out`], [`task`], [`turn`].
//! - Controllers: [`membership`], [`configuration`], [`scheduling`], [`tables`], [`poison`],
//!   [`placement`], [`audit`], [`health`].
//! - Requests: [`accept`], [`caller`], [`call`], [`request`], [`slot`], [`stream`], [`engine`], [`plain`],
//!   [`booking`], [`refusal`], [`reply`].
//! - Others: [`peers`], [`platform`], [`hosts`], [`load`], [`operator`], [`metrics`], [`recent`].

pub mod accept;
pub mod audit;
pub mod booking;
pub mod call;
pub mod caller;
pub mod clock;
pub mod configuration;
pub mod engine;
pub mod exchange;
pub mod health;
pub mod hosts;
pub mod keys;
pub mod load;
pub mod membership;
pub mod metrics;
pub mod operator;
pub mod out;
pub mod peers;
pub mod placement;
pub mod plain;
pub mod platform;
pub mod poison;
pub mod recent;
pub mod refusal;
pub mod reply;
pub mod request;
pub mod router;
pub mod scheduling;
pub mod serve;
pub mod slot;
pub mod start;
pub mod state;
pub mod stream;
pub mod tables;
pub mod task;
pub mod turn;
