//! The order of the host lists that this router reads from one service.
//!
//! A service that returns from an older copy states lower revisions than before, and assigns them again to other
//! lists. So the revision alone does not tell whether a list is later than another one. This router reads one list
//! after the other: an answer that states a lower revision comes from a service that went back, or from a replica
//! that is behind for a moment. Only the service that went back gives such answers to all reads of some seconds.

use tsw_base::time::{Span, Timestamp};

/// Time between the first and the last of the reads after which the service is known to have gone back.
pub const WENT_BACK_SPAN: Span = Span::from_secs(5);
/// Minimum number of these reads.
pub const WENT_BACK_READS: u32 = 5;

/// What is done with a host list that was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is the list in use.
    Current,
    /// It replaces the list in use, after which the service wrote it.
    Follows,
    /// It replaces the list in use. Its revision is higher, but the reads before stated lower ones, or it belonged to
    /// another list before the service went back. So the service may be on its way from an older copy, or the
    /// answer may come from a replica that has not gone back.
    MayFollow,
    /// It replaces the list in use, and may have been written before that.
    WentBack,
    /// It is not used.
    Ignored {
        /// Whether the ignored list before it had another revision.
        is_new: bool,
    },
}

/// Reads in a row that do not follow the list in use.
#[derive(Clone, Copy, Debug)]
struct Contradiction {
    /// When the first of them began.
    since: Timestamp,
    reads: u32,
    /// Revision that the last of them stated.
    revision: u64,
}

/// The reads of the host list.
#[derive(Clone, Debug, Default)]
pub struct Sequence {
    /// Revision of the list in use.
    known: Option<u64>,
    /// Highest revision that lists had which the service has discarded.
    discarded: u64,
    contradiction: Option<Contradiction>,
    /// Revision of the last list that was ignored since the one in use was adopted.
    ignored: Option<u64>,
}

impl Sequence {
    /// Decides on the list of a read that began at a time. `is_same` says whether it equals the list in use.
    ///
    /// ```
    /// use tsw_base::time::Timestamp;
    /// use tsw_member::sequence::{Decision, Sequence};
    ///
    /// let mut reads = Sequence::default();
    /// assert_eq!(reads.decide(Timestamp::ZERO, 7, false), Decision::Follows);
    /// assert_eq!(reads.decide(Timestamp::ZERO, 7, true), Decision::Current);
    /// let ignored = Decision::Ignored { is_new: true };
    /// assert_eq!(reads.decide(Timestamp::ZERO, 6, false), ignored);
    /// ```
    pub fn decide(&mut self, read_at: Timestamp, revision: u64, is_same: bool) -> Decision {
        let Some(known) = self.known else {
            self.adopt(revision);
            return Decision::Follows;
        };
        if is_same {
            self.contradiction = None;
            return Decision::Current;
        }
        if revision > known {
            let is_later = revision > self.discarded && self.contradiction.is_none();
            self.adopt(revision);
            return if is_later {
                Decision::Follows
            } else {
                Decision::MayFollow
            };
        }
        // A service that goes on does not state a lower revision than in the read before.
        let reads = self.contradiction.filter(|last| last.revision <= revision);
        let mut reads = reads.unwrap_or(Contradiction {
            since: read_at,
            reads: 0,
            revision,
        });
        reads.reads += 1;
        reads.revision = revision;
        if reads.reads >= WENT_BACK_READS && read_at.since(reads.since) >= WENT_BACK_SPAN {
            self.discard(known);
            self.adopt(revision);
            return Decision::WentBack;
        }
        self.contradiction = Some(reads);
        let is_new = self.ignored.replace(revision) != Some(revision);
        Decision::Ignored { is_new }
    }

    fn adopt(&mut self, revision: u64) {
        self.known = Some(revision);
        self.contradiction = None;
        self.ignored = None;
    }

    /// Records that revisions up to this one may belong to lists that the service has discarded.
    pub fn discard(&mut self, revision: u64) {
        self.discarded = self.discarded.max(revision);
    }

    /// Returns whether a peer that states a revision has a later list than this router. Revisions that the service
    /// assigns a second time do not tell.
    #[must_use]
    pub fn is_later(&self, revision: u64) -> bool {
        revision > self.discarded && self.known.is_none_or(|known| revision > known)
    }
}
