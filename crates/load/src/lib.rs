//! Load generator, experiments and checks for a fleet of routers. Test only.
//!
//! - [`plan`], [`keys`], [`ports`], [`process`]: parts of a fleet and its processes.
//! - [`delay`], [`relay`]: delays, loss and cuts between failure domains.
//! - [`client`], [`response`]: a caller and its check of each answer.
//! - [`history`], [`check`]: what was recorded, and the rules that it must keep.

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
