//! The relays through which the other routers reach a router.

use std::{cell::Cell, io, net::SocketAddr, sync::Arc, time::Duration};

use tsw_load::relay::{Link, Relay};

/// The relays of a router, with the links to and from it.
pub struct PeerRelay {
    /// Address for gossip of the others.
    pub gossip: SocketAddr,
    /// Address for reads of the others.
    pub control: SocketAddr,
    inbound: PeerLink,
    outbound: PeerLink,
}

/// A link that several faults may cut at the same time.
struct PeerLink {
    link: Arc<Link>,
    /// Number of faults that cut it now.
    cuts: Cell<usize>,
}

/// Keeps a link cut until it is dropped.
pub struct Cut<'a>(&'a PeerLink);

impl PeerLink {
    fn new() -> Self {
        Self {
            link: Link::new(Duration::ZERO),
            cuts: Cell::new(0),
        }
    }

    fn cut(&self) -> Cut<'_> {
        self.cuts.set(self.cuts.get() + 1);
        self.link.set_cut(true);
        Cut(self)
    }
}

impl Drop for Cut<'_> {
    fn drop(&mut self) {
        let cuts = self.0.cuts.get() - 1;
        self.0.cuts.set(cuts);
        self.0.link.set_cut(cuts > 0);
    }
}

impl PeerRelay {
    /// Starts the relays of a router that listens on `gossip` and `control`. Datagrams are taken on `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error if a relay cannot listen.
    pub fn start(
        relay: &Relay,
        listen: SocketAddr,
        gossip: SocketAddr,
        control: SocketAddr,
    ) -> io::Result<Self> {
        let (inbound, outbound) = (PeerLink::new(), PeerLink::new());
        let links = || (inbound.link.clone(), outbound.link.clone());
        let (to, from) = links();
        let gossip = relay.udp_at(listen, gossip, to, from)?;
        let (to, from) = links();
        let control = relay.tcp(control, to, from)?;
        Ok(Self {
            gossip,
            control,
            inbound,
            outbound,
        })
    }

    /// Cuts the link to the router.
    pub fn cut_inbound(&self) -> Cut<'_> {
        self.inbound.cut()
    }

    /// Cuts the links to and from the router. What it sends on its own goes through the relays of the others.
    pub fn cut_both(&self) -> [Cut<'_>; 2] {
        [self.inbound.cut(), self.outbound.cut()]
    }
}
