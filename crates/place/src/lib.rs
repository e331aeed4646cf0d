//! Placement of models on engines.
//!
//! - [`plan`]: computes the [`Order`] of each engine, its complete desired state, from the bundle and
//!   the host list alone.
//! - [`dispatch`]: sends orders at the rate that the weight store allows.
//!
//! Orders are idempotent, and two routers that both consider themselves the home of an engine send
//! the same order. An order that follows from an older bundle carries a lower fencing token.
//!
//! # Example
//!
//! The home of an engine sends the order until the engine accepts it, and again after a restart.
//!
//! ```
//! use tsw_base::{name, time::{Span, Timestamp}};
//! use tsw_config::Bundle;
//! use tsw_place::{plan, Dispatch, Engine, Event, Options};
//!
//! let bundle = Bundle::parse(br#"{"revision":3,"teams":{},"services":{"reviews":{
//!     "service":"reviews","kind":"model","repeatable":true,"slots":4,"fencing":"checked",
//!     "models":[{"model":"large-v2"}]}}}"#)?;
//! let service: name::Service = "reviews".parse()?;
//! let upstream: name::Upstream = "engine-1".parse()?;
//! let engines = [Engine {
//!     upstream: upstream.clone(),
//!     domain: "north".parse()?,
//!     service: service.clone(),
//!     leaving: false,
//! }];
//!
//! // After each change of the bundle, the host list or the homes, set the orders of the engines
//! // whose home is this router; here, all of them.
//! let fencing = bundle.services[&service].fencing;
//! let orders = plan::orders(&bundle, &engines).into_iter();
//! let orders = orders.map(|(upstream, order)| (upstream, (order, fencing))).collect();
//! let mut dispatch = Dispatch::new(Options::default());
//! let mut now = Timestamp::from_micros(1);
//! dispatch.handle(now, Event::Desired { orders, total_engines: engines.len() });
//!
//! let commands = dispatch.handle(now, Event::Tick);
//! let fence = commands[0].order.fence;
//! assert_eq!((&commands[0].upstream, fence), (&upstream, bundle.revision));
//! // The engine accepted. Unanswered orders are sent again after `Options::retry_interval`.
//! dispatch.handle(now, Event::Accepted { upstream: upstream.clone(), fence });
//!
//! now = now + Span::from_millis(100);
//! assert!(dispatch.handle(now, Event::Tick).is_empty());
//! dispatch.handle(now, Event::Restarted { upstream });
//! // The restarted engine must load its model again, which is subject to the weight store's rate.
//! now = now + Span::from_secs(1);
//! assert_eq!(dispatch.handle(now, Event::Tick), commands);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod dispatch;
pub mod plan;

pub use dispatch::{Command, Dispatch, Event, Options};
pub use plan::{Engine, Order, Role};
