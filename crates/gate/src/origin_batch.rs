//! Encodes for other routers where streams began.
//!
//! Many streams have the same origin, so that a batch states each origin once.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use tsw_flow::origin::{Key, Origin, Software};
use tsw_member::roster::Member;
use tsw_route::Name;

/// Maximum length of a name in bytes. Origins with longer names are not passed on.
const MAX_NAME: usize = 256;
/// Maximum size of the records of a batch in bytes. The rest of the datagram is for the sender.
const MAX_BATCH: usize = 12_288;
/// Maximum encoded size of the key of a stream and the index of its origin in bytes.
const STREAM_BYTES: usize = 13;
/// Maximum encoded size of an origin apart from its names in bytes.
const ORIGIN_BYTES: usize = 20;

/// An origin in its encoded form.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StatedOrigin {
    service: String,
    software: StatedSoftware,
}

#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
enum StatedSoftware {
    Version(String),
    Process { upstream: String, started_at: u64 },
}

impl StatedOrigin {
    /// Returns the encoded form of an origin; `None` if its names are too long.
    #[must_use]
    pub fn new(origin: &Origin) -> Option<Self> {
        let software = match &origin.software {
            Software::Version(version) => StatedSoftware::Version(version.to_string()),
            Software::Process {
                upstream,
                started_at,
            } => StatedSoftware::Process {
                upstream: upstream.to_string(),
                started_at: *started_at,
            },
        };
        let service = origin.service.to_string();
        let stated = Self { service, software };
        stated.is_valid().then_some(stated)
    }

    /// Returns the origin; `None` if its names are too long.
    #[must_use]
    pub fn origin(&self) -> Option<Origin> {
        let software = match &self.software {
            StatedSoftware::Version(version) => Software::Version(version.as_str().into()),
            StatedSoftware::Process {
                upstream,
                started_at,
            } => Software::Process {
                upstream: upstream.as_str().into(),
                started_at: *started_at,
            },
        };
        let service = self.service.as_str().into();
        self.is_valid().then_some(Origin { service, software })
    }

    fn is_valid(&self) -> bool {
        self.service.len() <= MAX_NAME && self.software_name().len() <= MAX_NAME
    }

    fn software_name(&self) -> &str {
        match &self.software {
            StatedSoftware::Version(name) | StatedSoftware::Process { upstream: name, .. } => name,
        }
    }

    fn bytes(&self) -> usize {
        self.service.len() + self.software_name().len() + ORIGIN_BYTES
    }
}

/// Records of where streams began.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    origins: IndexSet<StatedOrigin>,
    /// Key of each stream and index of its origin.
    streams: Vec<(u64, u16)>,
}

impl Batch {
    /// Returns the records in batches that each fit into a datagram.
    ///
    /// ```
    /// use tsw_flow::origin::{Key, Origin, Software};
    /// use tsw_gate::origin_batch::Batch;
    /// let software = Software::Version("v1".into());
    /// let origin = Origin { service: "engines".into(), software };
    /// let records = [(Key(1), origin.clone()), (Key(2), origin)];
    /// let batches = Batch::split(&records);
    /// assert_eq!(batches.len(), 1);
    /// assert!(batches[0].records().eq(records));
    /// ```
    #[must_use]
    pub fn split(records: &[(Key, Origin)]) -> Vec<Self> {
        let mut batches = Vec::new();
        let (mut batch, mut bytes) = (Self::default(), 0);
        for (key, origin) in records {
            let Some(stated) = StatedOrigin::new(origin) else {
                continue;
            };
            if bytes + stated.bytes() + STREAM_BYTES > MAX_BATCH {
                batches.push(std::mem::take(&mut batch));
                bytes = 0;
            }
            bytes += STREAM_BYTES;
            if !batch.origins.contains(&stated) {
                bytes += stated.bytes();
            }
            let (index, _) = batch.origins.insert_full(stated);
            batch.streams.push((key.0, index as u16));
        }
        batches.push(batch);
        batches.retain(|batch| !batch.is_empty());
        batches
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns the records. Those with an invalid origin are left out.
    pub fn records(&self) -> impl Iterator<Item = (Key, Origin)> + '_ {
        self.streams.iter().filter_map(|(key, index)| {
            let stated = self.origins.get_index(usize::from(*index))?;
            Some((Key(*key), stated.origin()?))
        })
    }
}

/// Selects the records that are still to be sent to the routers that keep them.
#[derive(Clone, Debug, Default)]
pub struct Outgoing {
    /// Incarnations of the routers to which the record of each stream was sent, by its key and whether its software was unknown.
    sent: IndexMap<(Key, bool), Vec<u64>>,
    /// Incarnations of the live routers at the last call.
    live: IndexSet<u64>,
}

impl Outgoing {
    /// Returns the records of streams that were not sent to their keepers yet, given the incarnations
    /// of the live routers. Streams that are no longer listed are forgotten.
    ///
    /// A record is sent once to each keeper, and again if its software becomes known. A keeper that starts again has forgotten
    /// it. Records of unknown software are always needed, since others may derive what the list shows.
    pub fn take<'a>(
        &mut self,
        streams: Vec<(Key, Origin)>,
        live: IndexSet<u64>,
        is_needed: impl Fn(&Name) -> bool,
        keepers: impl Fn(Key) -> Vec<&'a Member>,
    ) -> IndexMap<SocketAddr, Vec<(Key, Origin)>> {
        let same_routers = self.live == live;
        self.live = live;
        let mut needed: IndexMap<Name, bool> = IndexMap::new();
        let mut before = std::mem::take(&mut self.sent);
        let mut outgoing: IndexMap<SocketAddr, Vec<(Key, Origin)>> = IndexMap::new();
        for (key, origin) in streams {
            let is_unknown = origin.software.is_unknown();
            let record = (key, is_unknown);
            let sent = before.swap_remove(&record);
            let is_known = sent.is_some() && same_routers || self.sent.contains_key(&record);
            let mut sent = sent.unwrap_or_default();
            let service = &origin.service;
            if is_known {
                self.sent.entry(record).or_insert(sent);
                continue;
            }
            let needed = needed.entry(service.clone());
            if is_unknown || *needed.or_insert_with(|| is_needed(service)) {
                for keeper in keepers(key) {
                    if !sent.contains(&keeper.incarnation) {
                        sent.push(keeper.incarnation);
                        let records = outgoing.entry(keeper.gossip).or_default();
                        records.push((key, origin.clone()));
                    }
                }
                self.sent.insert(record, sent);
            }
        }
        outgoing
    }
}
