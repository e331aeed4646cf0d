//! Reads newer store content from peers.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::{stream::FuturesUnordered, StreamExt as _};
use tokio::time;
use tsw_base::time::Span;
use tsw_event::{emit, Event};
use tsw_flow::{evacuation, registry::Position};
use tsw_http::{
    connection::Connection,
    exchange::{self, Exchange},
    field::Fields,
    head,
};
use tsw_member::roster::Member;
use tsw_platform::{store::Item, upstream};

use crate::{
    list::Kind,
    list_comparison,
    state::{position, State},
    store_copy::{Digest, Evacuated, KnownRevisions, StoreDelta},
};

/// Path of the endpoint; its query is [`KnownRevisions::query`].
const PATH: &str = "/v1/stored";
/// Header field of the response with the digest of the list.
pub const DIGEST: &str = "List-Digest";
/// Part of the query that asks for a read of the store before the response.
const READ_FIRST: &str = "fresh=1";
/// Header field of the response if it shows each change.
pub const CHANGES: &str = "List-Changes";
/// Header field of the response if the store was read after the request for that arrived.
pub const READ: &str = "Store-Read";
/// Interval at which the revisions of the peers are compared with this router's.
const INTERVAL: Duration = Duration::from_millis(200);
/// Maximum size of a response in bytes. A configuration has at most 1 MB, an entry about 300 bytes.
const MAX_RESPONSE: usize = 8 << 20;
/// Time limit of a read.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Time after its start within which a router has read the store's history.
const HISTORY_TIME: Span = Span::from_millis(3_000);
/// Time limit of a read for which the other router reads the store.
const READ_FIRST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An error of a read from a peer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The HTTP exchange failed before the response was complete.
    #[error(transparent)]
    Exchange(#[from] exchange::Error),
    /// The response cannot be decoded.
    #[error("malformed answer: {0}")]
    Malformed(#[from] postcard::Error),
    /// The response is longer than the maximum.
    #[error("the answer exceeds {MAX_RESPONSE} bytes")]
    TooLong,
    /// The read exceeded its time limit.
    #[error("no answer in time")]
    Timeout,
}

/// Returns the query of a read by another router; `None` if the target is another endpoint.
#[must_use]
pub fn query(target: &str) -> Option<&str> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    (path == PATH).then_some(query)
}

/// Returns whether the store is to be read before the response.
#[must_use]
pub fn reads_first(query: &str) -> bool {
    query.split('&').any(|part| part == READ_FIRST)
}

/// Returns the store content that a peer with the given revisions lacks.
#[must_use]
pub fn delta(state: &State, known: &KnownRevisions) -> StoreDelta {
    let revision = state.registry.borrow().position().revision;
    let delta = state.store_copy.borrow().since(known, revision);
    let evacuations = state.evacuations.borrow();
    let Position { era, revision } = evacuations.position();
    let domains = evacuations.domains().iter().map(ToString::to_string);
    StoreDelta {
        // Nothing follows the era where no domain was ever evacuated.
        evacuated: evacuations.has_changed().then(|| Evacuated {
            era,
            revision,
            domains: domains.collect(),
        }),
        ..delta
    }
}

/// Compares this router with its peers until the process ends, and reads from one that is ahead.
pub async fn run(state: Rc<State>) {
    loop {
        time::sleep(INTERVAL).await;
        state.tick();
        let Some(peer) = peer_ahead(&state) else {
            continue;
        };
        let known = known_revisions(&state, &peer);
        match time::timeout(TIMEOUT, fetch(peer.control, &known, false)).await {
            Ok(Ok(delta)) => {
                apply(&state, &peer, delta);
            }
            Ok(Err(error)) => log_failure(&peer, &error),
            Err(_) => log_failure(&peer, &Error::Timeout),
        }
    }
}

/// What the other routers that learn first of changes of the store have answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// One of them has read the store for it.
    Read,
    /// None of them can read the store, and each has answered what it knows.
    Known {
        /// Number of the routers.
        routers: usize,
    },
    /// None of them has read the store, and not all have answered.
    Missing,
}

/// Asks the other routers that learn first of changes of the store to read it, and applies what they answer.
pub async fn read_all(state: &State) -> Answer {
    let peers = state.store_readers();
    let reads = peers.iter().map(|peer| async move {
        let known = known_revisions(state, peer);
        let read = fetch(peer.control, &known, true);
        let read = time::timeout(READ_FIRST_TIMEOUT, read).await;
        (peer, read.ok().and_then(Result::ok))
    });
    let mut answers: FuturesUnordered<_> = reads.collect();
    let mut routers = 0;
    while let Some((peer, delta)) = answers.next().await {
        let Some(delta) = delta else { continue };
        let is_read = delta.is_read;
        if apply(state, peer, delta) {
            routers += 1;
            if is_read {
                return Answer::Read;
            }
        }
    }
    if routers > 0 && routers == peers.len() {
        Answer::Known { routers }
    } else {
        Answer::Missing
    }
}

/// Returns the revisions after which another router is read.
pub fn known_revisions(state: &State, peer: &Member) -> KnownRevisions {
    let me = &state.roster.borrow().me;
    // Changes since a revision of an older era would be incomplete.
    let revision = if peer.era > me.era { 0 } else { me.revision };
    KnownRevisions {
        version: me.version,
        revision,
        era: me.era,
    }
}

fn log_failure(peer: &Member, error: &Error) {
    let fields: &[(&'static str, &dyn std::fmt::Display)] =
        &[("peer", &peer.host), ("cause", error)];
    emit(Event::InternalFailed, fields);
}

/// Returns a peer that has a newer configuration, or newer upstreams while this router does not
/// watch the store itself. While no peer reads the store, some may still know its latest changes.
///
/// Among peers with the newest configuration, those that have not just started are preferred, since others do not know what came and went
/// before their first list, and then one in this router's failure domain that reads the store, since traffic between failure domains is
/// expensive.
fn peer_ahead(state: &State) -> Option<Member> {
    let now = state.router.now();
    let reader = state.is_store_reader();
    let roster = state.roster.borrow();
    let (version, known) = (roster.me.version, position(&roster.me));
    let is_read = roster.live(now).any(|peer| peer.reads_store);
    let newer = roster.live(now).filter(|peer| {
        let watches_store = reader && roster.me.reads_store;
        let may_know = peer.reads_store || !is_read;
        let newer_upstreams = may_know && !watches_store && position(peer) > known;
        peer.version > version || newer_upstreams
    });
    newer
        .max_by_key(|peer| {
            let local_reader = peer.reads_store && peer.domain == roster.me.domain;
            let has_run = roster.known_for(now, &peer.host) >= HISTORY_TIME;
            (peer.version, has_run, local_reader, position(peer))
        })
        .cloned()
}

/// Reads the store content that a router with the given revisions lacks. The other router may be asked to read the store first.
///
/// # Errors
///
/// Returns an error if the other router does not answer completely, or with something else.
pub async fn fetch(
    address: SocketAddr,
    known: &KnownRevisions,
    reads_first: bool,
) -> Result<StoreDelta, Error> {
    let connection = Connection::open(address, TIMEOUT).await?;
    let mut query = known.query();
    if reads_first {
        query.push('&');
        query.push_str(READ_FIRST);
    }
    let mut fields = Fields::default();
    fields.push("Host", address.to_string());
    let request = head::Request {
        method: Bytes::from_static(b"GET"),
        target: format!("{PATH}?{query}").into(),
        http10: false,
        fields,
    };
    let mut exchange = Exchange::open(connection, &request, Bytes::new()).await?;
    let mut body = BytesMut::new();
    while let Some(data) = exchange.data().await? {
        body.extend_from_slice(&data);
        if body.len() > MAX_RESPONSE {
            return Err(Error::TooLong);
        }
    }
    let fields = &exchange.head().fields;
    Ok(StoreDelta {
        digest: fields.text(DIGEST).and_then(Digest::parse),
        shows_changes: fields.text(CHANGES).is_some(),
        is_read: fields.text(READ).is_some(),
        ..StoreDelta::decode(&body)?
    })
}

fn apply_evacuated(state: &State, peer: &Member, evacuated: &Evacuated) {
    let Evacuated {
        era,
        revision,
        ref domains,
    } = *evacuated;
    let domains = domains.iter().map(|domain| evacuation::Change {
        domain: domain.as_str().into(),
        is_evacuated: true,
        revision,
    });
    let domains: Vec<evacuation::Change> = domains.collect();
    state.apply_evacuations(Position { era, revision }, true, &domains, &peer.host);
}

/// Applies the content that another router has sent, and returns whether this router knows all of it then.
fn apply(state: &State, peer: &Member, delta: StoreDelta) -> bool {
    if let Some(evacuated) = &delta.evacuated {
        apply_evacuated(state, peer, evacuated);
    }
    if !delta.configuration.is_empty() {
        state.offer_configuration(&delta.configuration.into(), &peer.host);
    }
    let position = Position {
        era: delta.era,
        revision: delta.revision,
    };
    if position <= state.registry.borrow().position() {
        return true;
    }
    if peer.reads_store || delta.is_read {
        let now = state.router.now();
        state.registry.borrow_mut().record_platform_read(now);
    }
    let items: Vec<Item> = delta
        .entries
        .into_iter()
        .map(|(id, revision, bytes)| Item {
            key: format!("{}{id}", upstream::PREFIX),
            value: bytes.map(Into::into),
            revision,
            created: None,
        })
        .collect();
    let kind = match (delta.complete, delta.shows_changes) {
        (true, _) => Kind::Whole,
        (false, true) => Kind::Changes,
        (false, false) => Kind::Difference,
    };
    let is_applied = state.apply_upstreams(&items, position, kind);
    if is_applied {
        state.router.set_software_complete();
    }
    list_comparison::compare(state, peer, position, delta.digest);
    is_applied
}
