//! Health of upstreams and streams, and the budgets for extra work.
//!
//! - [`limit`]: the concurrency limit of each upstream from the pace of its streams.
//! - [`pace`]: the usual time to the first token and between tokens; when a stream is stalled.
//! - [`budget`]: bounds hedges and retries to a part of the requests.

pub mod budget;
pub mod limit;
pub mod pace;
