//! Load generator, experiments and checks for a fleet of routers. Test only.
//!
//! - [`plan`], [`launch`], [`process`], [`programs`], [`keys`], [`ports`], [`policy`]: a fleet and
//!   its processes.
//! - [`delay`], [`relay`]: simulated delay, loss and cut links between failure domains.
//! - [`generate`], [`client`], [`response`]: load, the caller and its checks of streamed responses.
//! - [`history`], [`audit_log`], [`check`]: the recorded histories, and the rules that they must
//!   satisfy.
//! - [`session`], [`scenario`], [`slot_time`]: experiments and the figures computed from histories.
//! - [`baseline`]: routers to compare with.
//! - [`demo`], [`report`]: the demonstration, and the page of results.

pub mod audit_log;
pub mod baseline;
pub mod check;
pub mod client;
pub mod delay;
pub mod demo;
pub mod generate;
pub mod history;
pub mod http;
pub mod keys;
pub mod launch;
pub mod plan;
pub mod policy;
pub mod ports;
pub mod process;
pub mod programs;
pub mod relay;
pub mod report;
pub mod response;
pub mod scenario;
pub mod session;
pub mod slot_time;
