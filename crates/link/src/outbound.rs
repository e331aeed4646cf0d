use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};

use actix_rt::time;
use bytes::BytesMut;
use tokio::sync::Notify;
use tsw_base::name;
use tsw_wire::{frame, message};

use crate::{
    session::{Notice, Shared},
    tls,
};

#[derive(Default)]
pub(crate) struct Peer {
    pub(crate) address: Cell<Option<SocketAddr>>,
    pub(crate) queue: RefCell<VecDeque<message::Message>>,
    pub(crate) connection: RefCell<Option<quinn::Connection>>,
    wake: Notify,
    /// Whether a message waits that is not to be held back.
    urgent: Cell<bool>,
    running: Cell<bool>,
    removed: Cell<bool>,
}

impl Peer {
    pub(crate) fn reset(&self) {
        if let Some(connection) = &*self.connection.borrow() {
            connection.close(1_u8.into(), b"reset");
        }
    }

    /// Returns whether the session to the peer was opened to a holder of another certificate than
    /// `connection` was.
    pub(crate) fn has_other_certificate(&self, connection: &quinn::Connection) -> bool {
        let current = self.connection.borrow();
        current
            .as_ref()
            .is_some_and(|current| tls::certificate(current) != tls::certificate(connection))
    }

    pub(crate) fn remove(&self) {
        self.removed.set(true);
        self.reset();
        self.wake.notify_one();
    }
}

pub(crate) fn push(
    shared: &Rc<Shared>,
    host: &name::Host,
    peer: &Rc<Peer>,
    message: message::Message,
    urgent: bool,
) {
    let full = peer.queue.borrow().len() >= shared.options.queue;
    if full {
        // The session is reset as well: the greeting of the next one restores the peer's view,
        // whereas a gap within a session would go unnoticed.
        let dropped = peer.queue.take().len();
        peer.reset();
        shared.count(|traffic| traffic.dropped += dropped as u64);
        (shared.handle)(Notice::Overflow {
            peer: host.clone(),
            dropped,
        });
    }
    peer.queue.borrow_mut().push_back(message);
    peer.urgent.set(peer.urgent.get() || urgent);
    peer.wake.notify_one();
    if !peer.running.replace(true) {
        actix_rt::spawn(run(shared.clone(), host.clone(), peer.clone()));
    }
}

async fn run(shared: Rc<Shared>, host: name::Host, peer: Rc<Peer>) {
    while !peer.removed.get() {
        while peer.queue.borrow().is_empty() && !peer.removed.get() {
            peer.wake.notified().await;
        }
        if peer.removed.get() {
            break;
        }
        let cause = match open(&shared, &host, &peer).await {
            Ok((connection, stream)) => {
                peer.connection.replace(Some(connection.clone()));
                let cause = pump(&shared, &host, &peer, &connection, stream).await;
                peer.connection.replace(None);
                shared.retire(&connection);
                cause
            }
            Err(cause) => cause,
        };
        let dropped = peer.queue.take().len() as u64;
        shared.count(|traffic| traffic.dropped += dropped);
        (shared.handle)(Notice::Closed {
            peer: host.clone(),
            cause,
        });
        time::sleep(shared.options.backoff).await;
    }
}

async fn open(
    shared: &Shared,
    host: &name::Host,
    peer: &Peer,
) -> Result<(quinn::Connection, quinn::SendStream), String> {
    let address = peer.address.get().ok_or("the peer has no address")?;
    let connecting = shared
        .endpoint
        .connect_with(shared.client.clone(), address, host.as_str())
        .map_err(|error| error.to_string())?;
    let opening = async {
        let connection = connecting.await.map_err(|error| error.to_string())?;
        let stream = connection
            .open_uni()
            .await
            .map_err(|error| error.to_string())?;
        Ok((connection, stream))
    };
    time::timeout(shared.options.timeout, opening)
        .await
        .unwrap_or_else(|_| Err("the peer does not answer".to_owned()))
}

async fn pump(
    shared: &Shared,
    host: &name::Host,
    peer: &Peer,
    connection: &quinn::Connection,
    mut stream: quinn::SendStream,
) -> String {
    let mut buffer = BytesMut::new();
    let hello = message::Message::Hello(shared.hello.clone());
    let mut batch = vec![hello];
    let waiting = peer.queue.take();
    batch.extend((shared.greet)(host));
    // What was queued before the session is older than the greeting. Demand and holdings in it are
    // outdated; the rest is not part of the greeting.
    let outdated = |message: &message::Message| {
        matches!(
            message,
            message::Message::Demand(_) | message::Message::Holdings(_)
        )
    };
    batch.extend(waiting.into_iter().filter(|message| !outdated(message)));
    (shared.handle)(Notice::Opened { peer: host.clone() });
    loop {
        let sent = Instant::now();
        for message in batch.drain(..) {
            match frame::encode(&message, &mut buffer) {
                Ok(()) => shared.count(|traffic| traffic.sent_frames += 1),
                Err(_) => shared.count(|traffic| traffic.dropped += 1),
            }
        }
        match time::timeout(shared.options.timeout, stream.write_all(&buffer)).await {
            Ok(Ok(())) => buffer.clear(),
            Ok(Err(error)) => return error.to_string(),
            Err(_) => {
                connection.close(2_u8.into(), b"timeout");
                return "the peer does not read".to_owned();
            }
        }
        while peer.queue.borrow().is_empty() {
            tokio::select! {
                () = peer.wake.notified() => {}
                error = connection.closed() => return error.to_string(),
            }
        }
        let due = sent + shared.options.flush;
        if Instant::now() < due {
            time::sleep_until(due.into()).await;
        }
        let hold = Instant::now() + shared.options.hold;
        while !peer.urgent.get() && Instant::now() < hold {
            tokio::select! {
                () = peer.wake.notified() => {}
                () = time::sleep_until(hold.into()) => {}
                error = connection.closed() => return error.to_string(),
            }
        }
        peer.urgent.set(false);
        batch.extend(peer.queue.take());
    }
}
