//! Load generator, experiments and checks for a fleet of routers. Test only.

pub mod delay;
pub mod keys;
pub mod plan;
pub mod ports;
pub mod process;
pub mod relay;
