//! The router process.
//!
//! All decisions are made on one thread: the only worker of the HTTP server, which also runs the
//! link to peers and the timers. [`router::Router::act`] makes a decision; the controllers below
//! read the whole blackboard and write their own sections.
//!
//! The imports of these files have no circle: [`router`] knows what is decided, not the tasks that
//! follow, which [`start`] gives it.
//!
//! - Start and end: [`keys`], [`plan`], [`start`], [`serve`], [`clock`].
//! - State: [`router`], [`state`], [`outbox`], [`task`], [`turn`].
//! - Controllers: [`membership`], [`configuration`], [`scheduling`], [`tables`], [`poison`],
//!   [`placement`], [`audit`], [`health`].
//! - Requests: [`accept`], [`caller`], [`call`], [`request`], [`slot`], [`running`], [`stream`],
//!   [`engine`], [`plain`], [`forward`], [`non_idempotent`], [`refusal`], [`reply`].
//! - Others: [`locate`], [`peers`], [`platform`], [`hosts`], [`load`], [`order`], [`operator`],
//!   [`metrics`], [`recent`].

pub mod accept;
pub mod audit;
pub mod call;
pub mod caller;
pub mod clock;
pub mod configuration;
pub mod engine;
pub mod exchange;
pub mod forward;
pub mod health;
pub mod hosts;
pub mod keys;
pub mod load;
pub mod locate;
pub mod membership;
pub mod metrics;
pub mod non_idempotent;
pub mod operator;
pub mod order;
pub mod outbox;
pub mod peers;
pub mod placement;
pub mod plain;
pub mod plan;
pub mod platform;
pub mod poison;
pub mod recent;
pub mod refusal;
pub mod reply;
pub mod request;
pub mod router;
pub mod running;
pub mod scheduling;
pub mod serve;
pub mod slot;
pub mod start;
pub mod state;
pub mod stream;
pub mod tables;
pub mod task;
pub mod turn;
