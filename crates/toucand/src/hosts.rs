//! Parses the host list.

use std::{net::SocketAddr, sync::Arc};

use serde::Deserialize;
use serde_json::value::RawValue;
use tsw_base::name;
use tsw_board::hosts::{List, Router, Upstream, Version};

#[derive(Deserialize)]
struct Document<'a> {
    revision: u64,
    #[serde(borrow)]
    hosts: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Entry {
    host: String,
    domain: name::Domain,
    role: Role,
    #[serde(default)]
    service: String,
    #[serde(default)]
    state: State,
    address: SocketAddr,
    #[serde(default)]
    peer_address: String,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    version: Option<String>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Role {
    Router,
    Upstream,
}

#[derive(Default, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    #[default]
    Live,
    Leaving,
}

/// Why an entry of the list is skipped.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The entry could not be deserialized.
    #[error("skipped entry {index} of the host list: {source}")]
    Malformed {
        /// Position in the list.
        index: usize,
        /// The underlying error.
        source: serde_json::Error,
    },
    /// A name is not valid.
    #[error("skipped entry {index} of the host list: {source}")]
    Name {
        /// Position in the list.
        index: usize,
        /// The underlying error.
        source: name::Error,
    },
    /// The peer address of a router is not valid.
    #[error("skipped entry {index} of the host list: invalid peer address {text:?}")]
    Address {
        /// Position in the list.
        index: usize,
        /// The invalid address.
        text: String,
    },
}

/// Parses a host list. An invalid entry is skipped and returned as an error, so that the other hosts
/// can still be used.
///
/// # Errors
///
/// Returns an error if the document itself cannot be parsed.
///
/// ```
/// let text = br#"{"revision":4,"hosts":[{"host":"e1","domain":"north","role":"upstream",
///     "service":"reviews","state":"live","address":"127.0.0.1:7001","slots":8},{}]}"#;
/// let (list, errors) = toucand::hosts::parse(text)?;
/// assert_eq!((list.revision, list.upstreams.len(), errors.len()), (4, 1, 1));
/// # Ok::<(), serde_json::Error>(())
/// ```
pub fn parse(bytes: &[u8]) -> Result<(List, Vec<EntryError>), serde_json::Error> {
    // Entries are decoded one by one, so that one that cannot be read hides no other.
    let text = String::from_utf8_lossy(bytes);
    let document: Document<'_> = serde_json::from_str(&text)?;
    let mut list = List {
        revision: document.revision,
        ..List::default()
    };
    let mut errors = Vec::new();
    for (index, value) in document.hosts.into_iter().enumerate() {
        let added = serde_json::from_str(value.get())
            .map_err(|source| EntryError::Malformed { index, source })
            .and_then(|entry| add(&mut list, index, entry));
        errors.extend(added.err());
    }
    Ok((list, errors))
}

fn add(list: &mut List, index: usize, entry: Entry) -> Result<(), EntryError> {
    let name_error = |source| EntryError::Name { index, source };
    let leaving = entry.state == State::Leaving;
    if entry.role == Role::Router {
        let peer_address = entry
            .peer_address
            .parse()
            .map_err(|_| EntryError::Address {
                index,
                text: entry.peer_address,
            })?;
        let router = Router {
            domain: entry.domain,
            leaving,
            address: entry.address,
            peer_address,
        };
        list.routers
            .insert(entry.host.parse().map_err(name_error)?, router);
        return Ok(());
    }
    let upstream = Upstream {
        domain: entry.domain,
        service: entry.service.parse().map_err(name_error)?,
        leaving,
        address: entry.address,
        slots: entry.slots,
        version: Version(entry.version.map(Arc::from)),
    };
    list.upstreams
        .insert(entry.host.parse().map_err(name_error)?, upstream);
    Ok(())
}
