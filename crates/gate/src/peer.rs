//! Reads peers that know more of the store than this router.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::time;
use tsw_event::{emit, Event};
use tsw_http::{
    connection::Connection,
    exchange::{self, Exchange},
    field::Fields,
    head,
};
use tsw_member::roster::Member;
use tsw_platform::{store::Item, upstream};

use crate::{
    gate::Gate,
    stored::{Knowledge, Known},
};

/// Path of the read; its query is [`Known::query`].
pub const PATH: &str = "/v1/stored";
/// Period of the comparison with peers.
const PERIOD: Duration = Duration::from_millis(200);
/// Most bytes of an answer. A configuration has at most 1 MB, an entry some 300 bytes.
const MAX_ANSWER: usize = 8 << 20;
/// Longest time for a read.
const LIMIT: Duration = Duration::from_millis(500);

/// Why a peer could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// No complete answer.
    #[error(transparent)]
    Exchange(#[from] exchange::Error),
    /// The answer is malformed.
    #[error("malformed answer: {0}")]
    Form(#[from] postcard::Error),
    /// The answer is longer than any.
    #[error("the answer exceeds {MAX_ANSWER} bytes")]
    Long,
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
}

/// Returns what this router tells a peer that knows this much.
#[must_use]
pub fn knowledge(gate: &Gate, known: &Known) -> Knowledge {
    let revision = gate.registry.borrow().revision();
    gate.stored.borrow().since(known, revision)
}

/// Compares this router with its peers until the process ends, and reads one that knows more.
pub async fn run(gate: Rc<Gate>) {
    loop {
        time::sleep(PERIOD).await;
        gate.tick();
        let Some(peer) = ahead(&gate) else { continue };
        let known = {
            let roster = gate.roster.borrow();
            Known {
                version: roster.me.version,
                revision: roster.me.revision,
            }
        };
        match time::timeout(LIMIT, fetch(peer.control, &known)).await {
            Ok(Ok(knowledge)) => take(&gate, &peer, knowledge),
            Ok(Err(error)) => failed(&peer, &error),
            Err(_) => failed(&peer, &Error::Timeout),
        }
    }
}

fn failed(peer: &Member, error: &Error) {
    let fields: &[(&'static str, &dyn std::fmt::Display)] =
        &[("peer", &peer.host), ("cause", error)];
    emit(Event::InternalFailed, fields);
}

/// Returns a peer that knows a newer configuration, or newer upstreams while this router does not
/// watch the store itself.
///
/// Of several that know the newest configuration, one in this router's failure domain that reads
/// the store goes first, since traffic between failure domains is dear.
fn ahead(gate: &Gate) -> Option<Member> {
    let now = gate.router.now();
    let reader = gate.is_reader();
    let roster = gate.roster.borrow();
    let (version, revision) = (roster.me.version, roster.me.revision);
    let newer = roster.live(now).filter(|peer| {
        let watches = reader && roster.me.reads_store;
        let upstreams = peer.reads_store && !watches && peer.revision > revision;
        peer.version > version || upstreams
    });
    newer
        .max_by_key(|peer| {
            let near = peer.reads_store && peer.domain == roster.me.domain;
            (peer.version, near, peer.revision)
        })
        .cloned()
}

async fn fetch(address: SocketAddr, known: &Known) -> Result<Knowledge, Error> {
    let connection = Connection::open(address, LIMIT).await?;
    let mut fields = Fields::default();
    fields.push("Host", address.to_string());
    let request = head::Request {
        method: Bytes::from_static(b"GET"),
        target: format!("{PATH}?{}", known.query()).into(),
        http10: false,
        fields,
    };
    let mut exchange = Exchange::open(connection, &request, Bytes::new()).await?;
    let mut body = BytesMut::new();
    while let Some(data) = exchange.data().await? {
        body.extend_from_slice(&data);
        if body.len() > MAX_ANSWER {
            return Err(Error::Long);
        }
    }
    Ok(postcard::from_bytes(&body)?)
}

fn take(gate: &Rc<Gate>, peer: &Member, knowledge: Knowledge) {
    if !knowledge.configuration.is_empty() {
        gate.offer(&knowledge.configuration.into(), &peer.host);
    }
    if knowledge.revision <= gate.registry.borrow().revision() {
        return;
    }
    gate.registry.borrow_mut().platform_read(gate.router.now());
    let items: Vec<Item> = knowledge
        .entries
        .into_iter()
        .map(|(id, revision, bytes)| Item {
            key: format!("{}{id}", upstream::PREFIX),
            value: bytes.map(Into::into),
            revision,
        })
        .collect();
    gate.set_items(&items);
    if knowledge.complete {
        gate.complete(&items, knowledge.revision);
    }
    gate.registry.borrow_mut().advance(knowledge.revision);
    gate.apply_entries();
}
