//! The router on the users' platform: sockets, timers and the state that they share.
//!
//! - [`serve`]: start, signals and the end of the process.
//! - [`gate`]: the shared state.
//! - [`client`]: connections of clients; [`accept`]: from the head of a request to its life;
//!   [`reuse`]: whether clients use connections again.
//! - [`own`]: calls to the router itself: readiness, addresses, metrics, reads by peers.
//! - [`read`]: reads the platform's store; [`peer`]: reads peers that know more; [`stored`]: what
//!   the store holds, and what a peer lacks of it.
//! - [`gossip`]: membership and load between routers; [`statement`]: load in pieces that fit into
//!   datagrams.
//!
//! What happens to a request after its admission is in `tsw-relay`, the decisions are in
//! `tsw-flow`, and the names of the platform are in `tsw-platform`.

pub mod accept;
pub mod client;
pub mod gate;
pub mod gossip;
pub mod own;
pub mod peer;
pub mod read;
pub mod reuse;
pub mod serve;
pub mod statement;
pub mod stored;
