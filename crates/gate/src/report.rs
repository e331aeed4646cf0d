//! Encodes the reports of a router's load and recent work in fragments that fit into datagrams.
//!
//! The size of a report grows with the number of upstreams, teams and prompts. One that is too long
//! for a datagram is sent in fragments, which the receiver reassembles. If a fragment is lost, the
//! whole report is lost; the next one repeats its content.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tsw_base::stated;
use tsw_flow::{account::Work, pool::Usage, prompt::Part};
use tsw_relay::router;
use tsw_route::Name;

/// Maximum size of a datagram in bytes. The receiver truncates longer ones.
pub const MAX_DATAGRAM: usize = 16_384;
/// Maximum size of the items in a fragment in bytes. The rest of the datagram is for the names of
/// the sender and the services.
const MAX_FRAGMENT_ITEMS: usize = 12_288;
/// Maximum size of an item in bytes: no name of an upstream or team is longer.
const MAX_ITEM: usize = 4_096;
/// Maximum number of parts of a prompt that are reported, so that they fit into an item.
const MAX_PARTS: usize = 180;
/// Maximum encoded size of a 32-bit integer in bytes.
const VARINT_32: usize = 5;
/// Maximum encoded size of a 64-bit integer in bytes.
const VARINT_64: usize = 10;

/// An error of the encoding of a message.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A name is too long.
    #[error("an item of {bytes} bytes exceeds the maximum of {MAX_ITEM} bytes")]
    Item {
        /// Its size in bytes.
        bytes: usize,
    },
    /// A datagram is longer than receivers accept.
    #[error("a datagram of {bytes} bytes exceeds the maximum of {MAX_DATAGRAM} bytes")]
    Datagram {
        /// Its size in bytes.
        bytes: usize,
    },
}

/// The activity of a router for one service, in its encoded form.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Activity {
    service: String,
    /// Upstream, number of requests and pending tokens.
    usage: Vec<(String, u32, u64)>,
    /// Upstream, and the prompt parts sent to it for prefill: identifier and tokens.
    prompt_parts: Vec<(String, Vec<(u64, u64)>)>,
    /// Team, and the work that it requested and received recently.
    teams: Vec<(String, f32, f32)>,
}

impl From<&router::ServiceReport> for Activity {
    fn from(activity: &router::ServiceReport) -> Self {
        let usage = activity.usage.iter();
        let teams = activity.teams.iter();
        let prompt_parts = activity.prefills.iter().map(|(id, parts)| {
            let parts = parts.iter().map(|part| (part.id, part.tokens));
            (id.to_string(), parts.collect())
        });
        Self {
            service: activity.service.to_string(),
            usage: usage
                .map(|(id, usage)| (id.to_string(), usage.requests, usage.pending_tokens))
                .collect(),
            prompt_parts: prompt_parts.collect(),
            teams: teams
                .map(|(team, work)| (team.to_string(), work.requested as f32, work.served as f32))
                .collect(),
        }
    }
}

impl From<Activity> for router::ServiceReport {
    fn from(activity: Activity) -> Self {
        let usage = activity.usage.into_iter();
        let teams = activity.teams.into_iter();
        let prompt_parts = activity.prompt_parts.into_iter().map(|(id, parts)| {
            let parts = parts.into_iter().map(|(id, tokens)| Part {
                id,
                tokens: stated::amount(tokens),
            });
            (id.into(), parts.collect())
        });
        Self {
            service: activity.service.into(),
            usage: usage
                .map(|(id, requests, pending_tokens)| {
                    (
                        id.into(),
                        Usage {
                            requests: stated::count(u64::from(requests)),
                            pending_tokens: stated::amount(pending_tokens),
                        },
                    )
                })
                .collect(),
            prefills: prompt_parts.collect(),
            teams: teams
                .map(|(team, requested, served)| {
                    let work = Work {
                        requested: stated::fraction(f64::from(requested)),
                        served: stated::fraction(f64::from(served)),
                    };
                    (team.into(), work)
                })
                .collect(),
        }
    }
}

/// A fragment of a report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fragment {
    /// Sequence number of the report; later ones have higher numbers.
    report: u64,
    /// Index of this fragment.
    index: u16,
    /// Number of fragments of the report.
    count: u16,
    activities: Vec<Activity>,
}

/// Collects items in fragments of bounded size.
#[derive(Default)]
struct Splitter {
    full: Vec<Vec<Activity>>,
    current: Vec<Activity>,
    /// Upper bound of the encoded size of `current`.
    bytes: usize,
}

impl Splitter {
    /// Reserves `bytes` for an item and returns the activity of its service in the current
    /// fragment, after starting a new fragment if the item does not fit.
    fn reserve(&mut self, service: &str, bytes: usize) -> Result<&mut Activity, Error> {
        if bytes > MAX_ITEM {
            return Err(Error::Item { bytes });
        }
        if self.bytes + bytes > MAX_FRAGMENT_ITEMS {
            self.full.push(std::mem::take(&mut self.current));
            self.bytes = 0;
        }
        self.bytes += bytes;
        if self
            .current
            .last()
            .is_none_or(|last| last.service != service)
        {
            self.bytes += service.len() + 4 * VARINT_32;
            self.current.push(Activity {
                service: service.to_owned(),
                ..Activity::default()
            });
        }
        Ok(self.current.last_mut().expect("pushed above"))
    }

    fn add(&mut self, activity: Activity) -> Result<(), Error> {
        let service = &*activity.service;
        for usage in activity.usage {
            let bytes = usage.0.len() + 2 * VARINT_32 + VARINT_64;
            self.reserve(service, bytes)?.usage.push(usage);
        }
        for mut parts in activity.prompt_parts {
            // The first parts of a prompt are the ones that others have as well.
            parts.1.truncate(MAX_PARTS);
            let bytes = parts.0.len() + 2 * VARINT_32 + parts.1.len() * 2 * VARINT_64;
            self.reserve(service, bytes)?.prompt_parts.push(parts);
        }
        for team in activity.teams {
            let bytes = team.0.len() + VARINT_32 + 2 * size_of::<f32>();
            self.reserve(service, bytes)?.teams.push(team);
        }
        Ok(())
    }
}

/// Splits a report with the sequence number `report` into one or more fragments.
///
/// # Errors
///
/// Returns an error if a name is too long.
pub fn split(report: u64, activities: Vec<Activity>) -> Result<Vec<Fragment>, Error> {
    let mut splitter = Splitter::default();
    for activity in activities {
        splitter.add(activity)?;
    }
    let mut contents = splitter.full;
    contents.push(splitter.current);
    let count = u16::try_from(contents.len()).unwrap_or(u16::MAX);
    let indexed = (0..count).zip(contents);
    let fragments = indexed.map(|(index, activities)| Fragment {
        report,
        index,
        count,
        activities,
    });
    Ok(fragments.collect())
}

/// The fragments received of the latest report of a router.
#[derive(Debug, Default)]
struct Partial {
    report: u64,
    fragments: IndexMap<u16, Vec<Activity>>,
}

/// Reassembles the reports of other routers from their fragments.
#[derive(Debug, Default)]
pub struct Reassembler(IndexMap<Name, Partial>);

impl Reassembler {
    /// Adds a fragment and returns the report if it is complete now.
    ///
    /// A later report replaces an incomplete earlier one.
    pub fn add(&mut self, from: &Name, fragment: Fragment) -> Option<Vec<Activity>> {
        if fragment.count <= 1 {
            self.0.swap_remove(from);
            return Some(fragment.activities);
        }
        let partial = self.0.entry(from.clone()).or_default();
        if partial.report != fragment.report {
            *partial = Partial {
                report: fragment.report,
                fragments: IndexMap::new(),
            };
        }
        partial
            .fragments
            .insert(fragment.index, fragment.activities);
        if partial.fragments.len() < usize::from(fragment.count) {
            return None;
        }
        let partial = self.0.swap_remove(from)?;
        let mut whole: IndexMap<String, Activity> = IndexMap::new();
        for activity in partial.fragments.into_values().flatten() {
            let merged = whole
                .entry(activity.service.clone())
                .or_insert_with(|| Activity {
                    service: activity.service.clone(),
                    ..Activity::default()
                });
            merged.usage.extend(activity.usage);
            merged.prompt_parts.extend(activity.prompt_parts);
            merged.teams.extend(activity.teams);
        }
        Some(whole.into_values().collect())
    }

    /// Discards the incomplete report of a router.
    pub fn discard(&mut self, router: &str) {
        self.0.swap_remove(router);
    }
}
