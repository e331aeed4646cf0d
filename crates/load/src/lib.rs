//! Load generator, experiments and checks for a fleet of routers. Test only.
//!
//! - [`plan`], [`keys`], [`ports`], [`process`]: parts of a fleet and its processes.
//! - [`delay`], [`relay`]: delays, loss and cuts between failure domains.
//! - [`client`], [`answer`]: a caller and its check of each answer.
//! - [`history`], [`check`]: what was recorded, and the rules that it must keep.

pub mod answer;
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
pub mod records;
pub mod relay;
pub mod report;
pub mod scenario;
pub mod service;
pub mod session;
