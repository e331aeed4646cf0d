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
    session::{LinkEvent, Shared},
    tls,
};

#[derive(Default)]
pub(crate) struct Peer {
    pub(crate) address: Cell<Option<SocketAddr>>,
    pub(crate) queue: RefCell<VecDeque<message::Message>>,
    pub(crate) connection: RefCell<Option<quinn::Connection>>,
    wake: Notify,
    /// Whether the queue holds a message that must not be delayed for batching.
    urgent: Cell<bool>,
    /// Whether the task that maintains the session was started.
    task_started: Cell<bool>,
    removed: Cell<bool>,
}

impl Peer {
    pub(crate) fn reset(&self) {
        if let Some(connection) = &*self.connection.borrow() {
            connection.close(1_u8.into(), b"reset");
        }
    }

    /// Returns whether the peer presented a different certificate on the outbound session than on
    /// `connection`.
    pub(crate) fn has_other_certificate(&self, connection: &quinn::Connection) -> bool {
        let current = self.connection.borrow();
        current.as_ref().is_some_and(|current| {
            tls::peer_certificate(current) != tls::peer_certificate(connection)
        })
    }

    pub(crate) fn remove(&self) {
        self.removed.set(true);
        self.reset();
        self.wake.notify_one();
    }
}

/// Queues a message for a peer and starts the peer's task if it does not run yet.
pub(crate) fn enqueue(
    shared: &Rc<Shared>,
    host: &name::Host,
    peer: &Rc<Peer>,
    message: message::Message,
    urgent: bool,
) {
    let full = peer.queue.borrow().len() >= shared.options.queue_capacity;
    if full {
        // Also resets the session: the peer would not notice messages missing within a session,
        // whereas the initial messages of the next session restore its state.
        let dropped = peer.queue.take().len();
        peer.reset();
        shared.update_traffic(|traffic| traffic.dropped += dropped as u64);
        (shared.on_event)(LinkEvent::QueueFull {
            peer: host.clone(),
            dropped,
        });
    }
    peer.queue.borrow_mut().push_back(message);
    peer.urgent.set(peer.urgent.get() || urgent);
    peer.wake.notify_one();
    if !peer.task_started.replace(true) {
        actix_rt::spawn(maintain_session(shared.clone(), host.clone(), peer.clone()));
    }
}

/// Opens a session whenever messages are queued, and reopens it after a failure, until the peer is
/// removed.
async fn maintain_session(shared: Rc<Shared>, host: name::Host, peer: Rc<Peer>) {
    while !peer.removed.get() {
        while peer.queue.borrow().is_empty() && !peer.removed.get() {
            peer.wake.notified().await;
        }
        if peer.removed.get() {
            break;
        }
        let cause = match connect(&shared, &host, &peer).await {
            Ok((connection, stream)) => {
                peer.connection.replace(Some(connection.clone()));
                let cause = send_messages(&shared, &host, &peer, &connection, stream).await;
                peer.connection.replace(None);
                shared.add_connection_bytes(&connection);
                cause
            }
            Err(cause) => cause,
        };
        let dropped = peer.queue.take().len() as u64;
        shared.update_traffic(|traffic| traffic.dropped += dropped);
        (shared.on_event)(LinkEvent::Closed {
            peer: host.clone(),
            cause,
        });
        time::sleep(shared.options.reconnect_delay).await;
    }
}

async fn connect(
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
        .unwrap_or_else(|_| Err("the peer did not answer in time".to_owned()))
}

async fn send_messages(
    shared: &Shared,
    host: &name::Host,
    peer: &Peer,
    connection: &quinn::Connection,
    mut stream: quinn::SendStream,
) -> String {
    let mut buffer = BytesMut::new();
    let hello = message::Message::Hello(shared.hello.clone());
    let mut batch = vec![hello];
    let queued = peer.queue.take();
    batch.extend((shared.initial_messages)(host));
    // Messages queued before the session are older than the initial messages, which supersede
    // queued demand and holdings. Other kinds are not part of the initial messages and are kept.
    let outdated = |message: &message::Message| {
        matches!(
            message,
            message::Message::Demand(_) | message::Message::Holdings(_)
        )
    };
    batch.extend(queued.into_iter().filter(|message| !outdated(message)));
    (shared.on_event)(LinkEvent::Opened { peer: host.clone() });
    loop {
        let sent = Instant::now();
        for message in batch.drain(..) {
            match frame::encode(&message, &mut buffer) {
                Ok(()) => shared.update_traffic(|traffic| traffic.sent_frames += 1),
                Err(_) => shared.update_traffic(|traffic| traffic.dropped += 1),
            }
        }
        match time::timeout(shared.options.timeout, stream.write_all(&buffer)).await {
            Ok(Ok(())) => buffer.clear(),
            Ok(Err(error)) => return error.to_string(),
            Err(_) => {
                connection.close(2_u8.into(), b"timeout");
                return "the peer did not read in time".to_owned();
            }
        }
        while peer.queue.borrow().is_empty() {
            tokio::select! {
                () = peer.wake.notified() => {}
                error = connection.closed() => return error.to_string(),
            }
        }
        let earliest = sent + shared.options.send_interval;
        if Instant::now() < earliest {
            time::sleep_until(earliest.into()).await;
        }
        let latest = Instant::now() + shared.options.batch_delay;
        while !peer.urgent.get() && Instant::now() < latest {
            tokio::select! {
                () = peer.wake.notified() => {}
                () = time::sleep_until(latest.into()) => {}
                error = connection.closed() => return error.to_string(),
            }
        }
        peer.urgent.set(false);
        batch.extend(peer.queue.take());
    }
}
