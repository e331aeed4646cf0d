//! The router process.
//!
//! All state changes run on one thread: the only worker of the HTTP server, which also runs the link
//! to peers and the timers. [`router::Router::update_state`] makes a change; the controllers below
//! can read the whole blackboard, but each writes only its own sections.
//!
//! The modules do not import each other in cycles: [`router`] does not depend on the tasks that
//! result from a change; [`start`] passes it a function that spawns them.
//!
//! - Startup and shutdown: [`keys`], [`context`], [`start`], [`serve`], [`clock`].
//! - State: [`router`], [`state`], [`outbox`], [`task`], [`turn`].
//! - Controllers: [`membership`], [`configuration`], [`scheduling`], [`tables`], [`crash_detector`],
//!   [`engine_runs`], [`placement`], [`audit`], [`health`].
//! - Requests: [`accept`], [`caller`], [`call`], [`request`], [`slot`], [`running`], [`stream`],
//!   [`engine`], [`plain`], [`forward`], [`non_idempotent`], [`refusal`], [`reply`].
//! - Others: [`locate`], [`peers`], [`platform`], [`hosts`], [`load`], [`order`], [`operator`],
//!   [`metrics`], [`recent`], [`prompt`].

pub mod accept;
pub mod audit;
pub mod call;
pub mod caller;
pub mod clock;
pub mod configuration;
pub mod context;
pub mod crash_detector;
pub mod engine;
pub mod engine_runs;
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
pub mod platform;
pub mod prompt;
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
