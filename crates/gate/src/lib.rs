//! The router process on the users' platform: its sockets, timers and shared state.
//!
//! - [`serve`]: start and graceful shutdown of the process; [`signals`]: the signals that it handles.
//! - [`state`]: the state that all tasks of the process share.
//! - [`accept`]: accepts connections without delaying the requests that run.
//! - [`arrival`]: connections that wait for a request, and which of them give way to others.
//! - [`client`]: client connections; [`authorize`]: checks the head of a request and selects its
//!   service; [`connection_reuse`]: tracks whether clients reuse their connections.
//! - [`request_body`]: reads bodies within the memory of the process.
//! - [`endpoints`]: the router's own HTTP endpoints: readiness, addresses, metrics, reads by peers.
//! - [`explain`]: explains where a request would go, without sending it.
//! - [`store_watch`]: reads the platform's store; [`peer_sync`]: reads newer store content from
//!   peers; [`store_history`]: reads at the start which upstreams left before; [`configuration_history`]: reads at the
//!   start which configurations were active before; [`list`]: applies reads of the list of
//!   upstreams; [`list_check`]: brings it up to
//!   date at a request's demand; [`list_comparison`]: compares the list with those of other routers; [`store_copy`]: the local copy of the store's content, and the difference to a peer's.
//! - [`origin_sync`]: shares with other routers where streams began; [`origin_batch`]: the encoding.
//! - [`credit_exchange`]: asks other routers for credits for requests to upstreams that state a rate, and
//!   hands them out; [`credit_message`]: the encoding.
//! - `upstreams`, `evacuations`: apply what was read of the upstreams, and what is known of evacuated failure domains.
//! - [`gossip`]: exchanges membership and load with other routers; [`report`]: splits activity
//!   reports into fragments that fit into datagrams.
//!
//! `tsw-relay` handles requests after their admission, `tsw-flow` takes the scheduling decisions,
//! and `tsw-platform` holds the names and formats of the platform.

pub mod accept;
pub mod arrival;
pub mod authorize;
pub mod client;
pub mod configuration_history;
pub mod connection_reuse;
pub mod credit_exchange;
pub mod credit_message;
pub mod endpoints;
mod evacuations;
pub mod explain;
pub mod gossip;
pub mod list;
pub mod list_check;
pub mod list_comparison;
pub mod origin_batch;
pub mod origin_sync;
pub mod peer_sync;
pub mod report;
pub mod request_body;
pub mod serve;
pub mod signals;
pub mod state;
pub mod store_copy;
pub mod store_history;
pub mod store_watch;
mod upstreams;
