use std::{net::SocketAddr, rc::Rc};

use actix_rt::time;
use tsw_base::host;
use tsw_wire::{frame, message};

use crate::{
    session::{LinkEvent, Shared},
    tls,
};

pub(crate) struct Session {
    pub(crate) id: host::Id,
    pub(crate) connection: quinn::Connection,
}

pub(crate) async fn accept(shared: Rc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        actix_rt::spawn(serve_session(shared.clone(), incoming));
    }
}

async fn serve_session(shared: Rc<Shared>, incoming: quinn::Incoming) {
    let address = incoming.remote_address();
    match handshake(&shared, incoming).await {
        Ok((connection, stream, hello)) => {
            let id = hello.id.clone();
            if !register_session(&shared, &id, &connection) {
                connection.close(3_u8.into(), b"older");
                shared.add_connection_bytes(&connection);
                refuse(
                    &shared,
                    address,
                    format!("{id} is older than the incarnation of the open session"),
                );
                return;
            }
            (shared.on_event)(LinkEvent::Accepted { hello, address });
            receive_messages(&shared, &id, &connection, stream).await;
            let mut inbound = shared.inbound.borrow_mut();
            let current = inbound
                .get(&id.host)
                .is_some_and(|s| s.connection.stable_id() == connection.stable_id());
            if current {
                inbound.swap_remove(&id.host);
            }
            drop(inbound);
            shared.add_connection_bytes(&connection);
        }
        Err(cause) => refuse(&shared, address, cause),
    }
}

fn refuse(shared: &Shared, address: SocketAddr, cause: String) {
    shared.update_traffic(|traffic| traffic.refused += 1);
    (shared.on_event)(LinkEvent::Refused { address, cause });
}

/// Makes the session the only one from its host, so that messages of an earlier session never
/// arrive after those of a later one. Returns `false` if the open session belongs to a later
/// incarnation.
fn register_session(shared: &Shared, id: &host::Id, connection: &quinn::Connection) -> bool {
    let mut inbound = shared.inbound.borrow_mut();
    if let Some(current) = inbound.get(&id.host) {
        if current.id.incarnation > id.incarnation {
            return false;
        }
        current.connection.close(4_u8.into(), b"replaced");
    }
    inbound.insert(
        id.host.clone(),
        Session {
            id: id.clone(),
            connection: connection.clone(),
        },
    );
    drop(inbound);
    let previous = shared
        .incarnations
        .borrow_mut()
        .insert(id.host.clone(), id.incarnation);
    let restarted = previous.is_some_and(|previous| previous != id.incarnation);
    if let Some(peer) = shared.peers.borrow().get(&id.host) {
        // The outbound session to the earlier incarnation gets no answer and would time out much
        // later. If the earlier incarnation never connected, a certificate renewed at the restart
        // still reveals it. With an unchanged certificate, the new incarnation ends the session by
        // a stateless reset (see tls::Identity::endpoint).
        if restarted || peer.has_other_certificate(connection) {
            peer.reset();
        }
    }
    true
}

type Handshake = (quinn::Connection, quinn::RecvStream, message::Hello);

async fn handshake(shared: &Shared, incoming: quinn::Incoming) -> Result<Handshake, String> {
    let accepted = async {
        let connection = incoming.await.map_err(|error| error.to_string())?;
        let mut stream = connection
            .accept_uni()
            .await
            .map_err(|error| error.to_string())?;
        let body = read_frame_body(&mut stream).await?;
        let message::Message::Hello(hello) =
            frame::decode(&body).map_err(|error| error.to_string())?
        else {
            return Err("the first frame is not a hello".to_owned());
        };
        if hello.version != message::VERSION {
            return Err(format!("protocol version {} is unknown", hello.version));
        }
        if !tls::certificate_names_host(&connection, &hello.id.host) {
            return Err(format!("the certificate does not name {}", hello.id.host));
        }
        Ok((connection, stream, hello))
    };
    time::timeout(shared.options.timeout, accepted)
        .await
        .unwrap_or_else(|_| Err("the peer did not identify itself in time".to_owned()))
}

async fn read_frame_body(stream: &mut quinn::RecvStream) -> Result<Vec<u8>, String> {
    let mut header = [0; frame::HEADER_BYTES];
    stream
        .read_exact(&mut header)
        .await
        .map_err(|error| error.to_string())?;
    let len = frame::body_length(header).map_err(|error| error.to_string())?;
    let mut body = vec![0; len];
    stream
        .read_exact(&mut body)
        .await
        .map_err(|error| error.to_string())?;
    Ok(body)
}

async fn receive_messages(
    shared: &Shared,
    id: &host::Id,
    connection: &quinn::Connection,
    mut stream: quinn::RecvStream,
) {
    loop {
        let mut header = [0; frame::HEADER_BYTES];
        if stream.read_exact(&mut header).await.is_err() {
            break;
        }
        let message = match frame::body_length(header) {
            Ok(len) => {
                let mut body = vec![0; len];
                if stream.read_exact(&mut body).await.is_err() {
                    break;
                }
                frame::decode(&body)
            }
            Err(error) => Err(error),
        };
        // The stream may still deliver frames that were received before the session was replaced.
        if connection.close_reason().is_some() {
            break;
        }
        match message {
            Ok(message) => {
                shared.update_traffic(|traffic| traffic.received_frames += 1);
                (shared.on_event)(LinkEvent::Message {
                    from: id.clone(),
                    message: Box::new(message),
                });
            }
            Err(error) => {
                shared.update_traffic(|traffic| traffic.malformed += 1);
                connection.close(5_u8.into(), b"malformed");
                (shared.on_event)(LinkEvent::Malformed {
                    peer: id.clone(),
                    cause: error.to_string(),
                });
                break;
            }
        }
    }
}
