//! What a router states of its work, in pieces that fit into datagrams.
//!
//! A statement grows with the upstreams, teams and prompts of its router. One that is too long for a
//! datagram goes out in pieces, which the other side puts together again. A piece that is lost loses
//! its statement; the next one says the same or more.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tsw_flow::{account::Work, pool::Usage, prompt::Part};
use tsw_relay::router;
use tsw_route::Name;

/// Longest datagram, in bytes. Longer ones are cut by the reader.
pub const MAX_DATAGRAM: usize = 16_384;
/// Most bytes of the items in one piece. The rest is for the sender's name and the names of services.
const MAX_ITEMS: usize = 12_288;
/// Most bytes of an item in one piece: no name of an upstream or team is longer.
const MAX_ITEM: usize = 4_096;
/// Most bytes of a number of 32 and of 64 bits as it is encoded.
const NUMBER_32: usize = 5;
const NUMBER_64: usize = 10;

/// Why something cannot be stated.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// One name or list of parts is longer than a piece.
    #[error("an item of {bytes} bytes exceeds {MAX_ITEM}")]
    Item {
        /// Its bytes.
        bytes: usize,
    },
    /// A datagram is longer than all readers take.
    #[error("a datagram of {bytes} bytes exceeds {MAX_DATAGRAM}")]
    Datagram {
        /// Its bytes.
        bytes: usize,
    },
}

/// What one router does for a service, as it is sent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Activity {
    service: String,
    /// Upstream, requests and tokens of prompts that are not read yet.
    uses: Vec<(String, u32, u64)>,
    /// Upstream, and parts of prompts that it was told to read: identifier and tokens.
    read: Vec<(String, Vec<(u64, u64)>)>,
    /// Team, and work that it asked for and received lately.
    teams: Vec<(String, f32, f32)>,
}

impl From<&router::ServiceReport> for Activity {
    fn from(activity: &router::ServiceReport) -> Self {
        let uses = activity.usage.iter();
        let teams = activity.teams.iter();
        let read = activity.prefills.iter().map(|(id, parts)| {
            let parts = parts.iter().map(|part| (part.id, part.tokens));
            (id.to_string(), parts.collect())
        });
        Self {
            service: activity.service.to_string(),
            uses: uses
                .map(|(id, used)| (id.to_string(), used.requests, used.pending_tokens))
                .collect(),
            read: read.collect(),
            teams: teams
                .map(|(team, work)| (team.to_string(), work.requested as f32, work.served as f32))
                .collect(),
        }
    }
}

impl From<Activity> for router::ServiceReport {
    fn from(activity: Activity) -> Self {
        let uses = activity.uses.into_iter();
        let teams = activity.teams.into_iter();
        let read = activity.read.into_iter().map(|(id, parts)| {
            let parts = parts.into_iter().map(|(id, tokens)| Part { id, tokens });
            (id.into(), parts.collect())
        });
        Self {
            service: activity.service.into(),
            usage: uses
                .map(|(id, requests, unread)| {
                    (
                        id.into(),
                        Usage {
                            requests,
                            pending_tokens: unread,
                        },
                    )
                })
                .collect(),
            prefills: read.collect(),
            teams: teams
                .map(|(team, asked, received)| {
                    let (asked, received) = (f64::from(asked), f64::from(received));
                    (
                        team.into(),
                        Work {
                            requested: asked,
                            served: received,
                        },
                    )
                })
                .collect(),
        }
    }
}

/// A piece of a statement.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Piece {
    /// Number of the statement; later ones have higher numbers.
    number: u64,
    /// Place of this piece, and number of pieces.
    place: u16,
    pieces: u16,
    activities: Vec<Activity>,
}

/// Collects items in pieces of bounded length.
#[derive(Default)]
struct Splitter {
    full: Vec<Vec<Activity>>,
    last: Vec<Activity>,
    bytes: usize,
}

impl Splitter {
    /// Returns the activity of a service in the piece that has room for an item of so many bytes.
    fn room(&mut self, service: &str, bytes: usize) -> Result<&mut Activity, Error> {
        if bytes > MAX_ITEM {
            return Err(Error::Item { bytes });
        }
        if self.bytes + bytes > MAX_ITEMS {
            self.full.push(std::mem::take(&mut self.last));
            self.bytes = 0;
        }
        self.bytes += bytes;
        if self.last.last().is_none_or(|last| last.service != service) {
            self.bytes += service.len() + 4 * NUMBER_32;
            self.last.push(Activity {
                service: service.to_owned(),
                ..Activity::default()
            });
        }
        Ok(self.last.last_mut().expect("pushed above"))
    }

    fn add(&mut self, activity: Activity) -> Result<(), Error> {
        let service = &*activity.service;
        for used in activity.uses {
            let bytes = used.0.len() + 2 * NUMBER_32 + NUMBER_64;
            self.room(service, bytes)?.uses.push(used);
        }
        for read in activity.read {
            let bytes = read.0.len() + 2 * NUMBER_32 + read.1.len() * 2 * NUMBER_64;
            self.room(service, bytes)?.read.push(read);
        }
        for team in activity.teams {
            let bytes = team.0.len() + NUMBER_32 + 2 * size_of::<f32>();
            self.room(service, bytes)?.teams.push(team);
        }
        Ok(())
    }
}

/// Returns the pieces of a statement, at least one.
///
/// # Errors
///
/// Returns an error if a name or a list of parts is longer than a piece.
pub fn split(number: u64, activities: Vec<Activity>) -> Result<Vec<Piece>, Error> {
    let mut splitter = Splitter::default();
    for activity in activities {
        splitter.add(activity)?;
    }
    let mut all = splitter.full;
    all.push(splitter.last);
    let pieces = u16::try_from(all.len()).unwrap_or(u16::MAX);
    let numbered = (0..pieces).zip(all);
    let pieces = numbered.map(|(place, activities)| Piece {
        number,
        place,
        pieces,
        activities,
    });
    Ok(pieces.collect())
}

/// The pieces of the latest statement of a router.
#[derive(Debug, Default)]
struct Partial {
    number: u64,
    found: IndexMap<u16, Vec<Activity>>,
}

/// Puts statements together.
#[derive(Debug, Default)]
pub struct Assembly(IndexMap<Name, Partial>);

impl Assembly {
    /// Takes a piece and returns the statement if it is complete now.
    ///
    /// A later statement takes the place of an earlier one that is not complete.
    pub fn take(&mut self, from: &Name, piece: Piece) -> Option<Vec<Activity>> {
        if piece.pieces <= 1 {
            self.0.swap_remove(from);
            return Some(piece.activities);
        }
        let partial = self.0.entry(from.clone()).or_default();
        if partial.number != piece.number {
            *partial = Partial {
                number: piece.number,
                found: IndexMap::new(),
            };
        }
        partial.found.insert(piece.place, piece.activities);
        if partial.found.len() < usize::from(piece.pieces) {
            return None;
        }
        let partial = self.0.swap_remove(from)?;
        let mut whole: IndexMap<String, Activity> = IndexMap::new();
        for activity in partial.found.into_values().flatten() {
            let merged = whole
                .entry(activity.service.clone())
                .or_insert_with(|| Activity {
                    service: activity.service.clone(),
                    ..Activity::default()
                });
            merged.uses.extend(activity.uses);
            merged.read.extend(activity.read);
            merged.teams.extend(activity.teams);
        }
        Some(whole.into_values().collect())
    }

    /// Forgets what a router that ended has begun to state.
    pub fn forget(&mut self, router: &str) {
        self.0.swap_remove(router);
    }
}
