use std::{
    cell::{Cell, RefCell},
    io,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use indexmap::IndexMap;
use tsw_base::{host, name};
use tsw_wire::message;

use crate::{
    inbound,
    outbound::{self, Peer},
    tls,
};

/// An error while starting a link.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be bound.
    #[error("cannot listen for peers on {address}: {source}; correct listen.peer")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The certificates cannot be used.
    #[error(transparent)]
    Tls(#[from] tls::Error),
}

/// A received message or a change of a session.
#[derive(Debug)]
pub enum LinkEvent {
    /// A session that this router opened is ready; its initial messages are sent next.
    Opened {
        /// The peer.
        peer: name::Host,
    },
    /// A session that this router opened ended or could not be opened.
    Closed {
        /// The peer.
        peer: name::Host,
        /// The cause, for the log.
        cause: String,
    },
    /// A peer opened a session and identified itself.
    Accepted {
        /// The hello that the peer sent.
        hello: message::Hello,
        /// Address that the peer sends from.
        address: SocketAddr,
    },
    /// A peer's session was refused.
    Refused {
        /// Address that the peer sends from.
        address: SocketAddr,
        /// The cause, for the log.
        cause: String,
    },
    /// A malformed frame arrived; its session is closed.
    Malformed {
        /// The peer.
        peer: host::Id,
        /// The cause, for the log.
        cause: String,
    },
    /// The queue to a peer overflowed. The session is reset, and the next one starts with the
    /// initial messages.
    QueueFull {
        /// The peer.
        peer: name::Host,
        /// Messages that were dropped.
        dropped: usize,
    },
    /// A message arrived.
    Message {
        /// The peer.
        from: host::Id,
        /// The message.
        message: Box<message::Message>,
    },
}

/// Limits and intervals of a link.
#[derive(Clone, Debug)]
pub struct Options {
    /// Minimum time between two sends to a peer.
    pub send_interval: Duration,
    /// Maximum time that deferred messages wait to be sent together with others.
    pub batch_delay: Duration,
    /// Maximum number of messages queued for one peer.
    pub queue_capacity: usize,
    /// Time limit for opening a session and for writing a batch.
    pub timeout: Duration,
    /// Delay before a session is opened again after it ended or could not be opened.
    pub reconnect_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            send_interval: Duration::from_millis(2),
            batch_delay: Duration::from_millis(40),
            queue_capacity: 16_384,
            timeout: Duration::from_millis(1_000),
            reconnect_delay: Duration::from_millis(200),
        }
    }
}

/// Counters of a link. Bytes are UDP payload bytes, as QUIC counts them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes sent to peers.
    pub sent_bytes: u64,
    /// Bytes received from peers.
    pub received_bytes: u64,
    /// Messages sent.
    pub sent_frames: u64,
    /// Messages received.
    pub received_frames: u64,
    /// Malformed frames.
    pub malformed: u64,
    /// Sessions refused.
    pub refused: u64,
    /// Messages dropped because a peer could not be reached or its queue was full.
    pub dropped: u64,
    /// Messages currently queued.
    pub queued: u64,
}

pub(crate) type InitialMessages = dyn Fn(&name::Host) -> Vec<message::Message>;
pub(crate) type OnEvent = dyn Fn(LinkEvent);

pub(crate) struct Shared {
    pub(crate) endpoint: quinn::Endpoint,
    pub(crate) client: quinn::ClientConfig,
    pub(crate) hello: message::Hello,
    pub(crate) options: Options,
    pub(crate) initial_messages: Box<InitialMessages>,
    pub(crate) on_event: Box<OnEvent>,
    pub(crate) traffic: Cell<Traffic>,
    pub(crate) peers: RefCell<IndexMap<name::Host, Rc<Peer>>>,
    pub(crate) inbound: RefCell<IndexMap<name::Host, inbound::Session>>,
    /// The last incarnation of each host that opened a session.
    pub(crate) incarnations: RefCell<IndexMap<name::Host, host::Incarnation>>,
}

impl Shared {
    pub(crate) fn update_traffic(&self, change: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        change(&mut traffic);
        self.traffic.set(traffic);
    }

    /// Adds the bytes of a closed connection to the counters.
    pub(crate) fn add_connection_bytes(&self, connection: &quinn::Connection) {
        let stats = connection.stats();
        self.update_traffic(|traffic| {
            traffic.sent_bytes += stats.udp_tx.bytes;
            traffic.received_bytes += stats.udp_rx.bytes;
        });
    }
}

/// Sends messages to peers and reports received messages and session changes.
#[derive(Clone)]
pub struct Link {
    shared: Rc<Shared>,
}

impl Link {
    /// Listens on `address` and starts to accept sessions of peers.
    ///
    /// `initial_messages` returns the messages that follow the hello at the start of a session to a
    /// peer. `on_event` receives every event; it runs on this arbiter and may send messages.
    ///
    /// # Errors
    ///
    /// Returns an error if the address or the certificates cannot be used.
    pub fn bind(
        address: SocketAddr,
        identity: &tls::Identity,
        hello: message::Hello,
        options: Options,
        initial_messages: Box<InitialMessages>,
        on_event: Box<OnEvent>,
    ) -> Result<Self, Error> {
        let bind_error = |source| Error::Bind { address, source };
        let socket = UdpSocket::bind(address).map_err(bind_error)?;
        let endpoint = quinn::Endpoint::new(
            identity.endpoint(),
            Some(identity.server()?),
            socket,
            Arc::new(quinn::TokioRuntime),
        )
        .map_err(bind_error)?;
        let shared = Rc::new(Shared {
            endpoint,
            client: identity.client()?,
            hello,
            options,
            initial_messages,
            on_event,
            traffic: Cell::default(),
            peers: RefCell::default(),
            inbound: RefCell::default(),
            incarnations: RefCell::default(),
        });
        actix_rt::spawn(inbound::accept(shared.clone()));
        Ok(Self { shared })
    }

    /// Sets or removes the address of a peer. A session to another address is closed.
    pub fn set_address(&self, host: &name::Host, address: Option<SocketAddr>) {
        let mut peers = self.shared.peers.borrow_mut();
        match address {
            Some(address) => {
                let peer = peers.entry(host.clone()).or_default();
                if peer.address.replace(Some(address)) != Some(address) {
                    peer.reset();
                }
            }
            None => {
                if let Some(peer) = peers.shift_remove(host) {
                    peer.remove();
                }
            }
        }
    }

    /// Ends the session to a peer, if there is one. The next message opens another.
    ///
    /// After a network partition QUIC retransmits at growing intervals, and a session to a peer that
    /// has restarted lasts until it times out, so a new session works sooner.
    pub fn reset(&self, host: &name::Host) {
        if let Some(peer) = self.shared.peers.borrow().get(host) {
            peer.reset();
        }
    }

    /// Queues a message for a peer and opens a session if there is none. A message for a host
    /// without an address is dropped.
    pub fn send(&self, host: &name::Host, message: message::Message) {
        self.enqueue(host, message, true);
    }

    /// Queues a message that may be delayed by at most [`Options::batch_delay`] to be sent together
    /// with others. The order of messages is preserved.
    pub fn send_deferred(&self, host: &name::Host, message: message::Message) {
        self.enqueue(host, message, false);
    }

    fn enqueue(&self, host: &name::Host, message: message::Message, urgent: bool) {
        let peer = self.shared.peers.borrow().get(host).cloned();
        match peer {
            Some(peer) => outbound::enqueue(&self.shared, host, &peer, message, urgent),
            None => self.shared.update_traffic(|traffic| traffic.dropped += 1),
        }
    }

    /// Returns the counters, including those of the open sessions.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        let mut traffic = self.shared.traffic.get();
        let mut add = |connection: &quinn::Connection| {
            let stats = connection.stats();
            traffic.sent_bytes += stats.udp_tx.bytes;
            traffic.received_bytes += stats.udp_rx.bytes;
        };
        for peer in self.shared.peers.borrow().values() {
            if let Some(connection) = &*peer.connection.borrow() {
                add(connection);
            }
        }
        for session in self.shared.inbound.borrow().values() {
            add(&session.connection);
        }
        let peers = self.shared.peers.borrow();
        traffic.queued = peers.values().map(|p| p.queue.borrow().len() as u64).sum();
        traffic
    }

    /// Returns whether all queues are empty: every message was taken over by its session's task.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let peers = self.shared.peers.borrow();
        peers.values().all(|peer| peer.queue.borrow().is_empty())
    }

    /// Closes all sessions and waits, for at most `timeout`, until the peers were notified.
    pub async fn close(&self, timeout: Duration) {
        self.shared.endpoint.close(0_u8.into(), b"stopped");
        let _ = actix_rt::time::timeout(timeout, self.shared.endpoint.wait_idle()).await;
    }
}
