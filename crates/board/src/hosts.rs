//! The active host list of this host.

use std::{net::SocketAddr, sync::Arc};

use indexmap::IndexMap;
use tsw_base::name;

/// A router in the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Router {
    /// Its failure domain.
    pub domain: name::Domain,
    /// Whether it is leaving the fleet.
    pub leaving: bool,
    /// Address for requests of callers.
    pub address: SocketAddr,
    /// Address for connections of other routers.
    pub peer_address: SocketAddr,
}

/// The software version that an upstream runs. All upstreams that state none run the same.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Version(pub Option<Arc<str>>);

/// An upstream in the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Its failure domain.
    pub domain: name::Domain,
    /// Its service.
    pub service: name::Service,
    /// Whether it is leaving the fleet.
    pub leaving: bool,
    /// Address for requests.
    pub address: SocketAddr,
    /// Number of slots; 0 means the number in the service file.
    pub slots: u32,
    /// Version of its software.
    pub version: Version,
}

/// The host list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct List {
    /// Its revision.
    pub revision: u64,
    /// Routers.
    pub routers: IndexMap<name::Host, Router>,
    /// Upstreams.
    pub upstreams: IndexMap<name::Upstream, Upstream>,
}
