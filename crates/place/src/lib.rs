//! Which engine holds which models, and how engines are told.
//!
//! - [`plan`]: a pure function of bundle and host list; [`Order`] is the whole desired state.
//! - [`dispatch`]: sends orders at the pace that the weight store allows.
//!
//! Two routers that both believe they are home of an engine send the same order, and an order can be
//! repeated without effect. An order that follows from an older bundle carries a lower fencing token.

pub mod dispatch;
pub mod plan;

pub use dispatch::{Command, Dispatch, Event, Pace};
pub use plan::{Engine, Order, Role};
