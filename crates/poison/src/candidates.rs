//! The candidates of a request: what may be the cause if it crashes an upstream.

use xxhash_rust::xxh3;

use crate::message::Fingerprint;

/// Maximum number of prompt parts of one request that are considered. Of a longer prompt, the parts
/// with the smallest hashes are, so that prompts which share parts keep the same ones.
pub const MAX_PARTS: usize = 120;

/// Bits of a fingerprint below its tag.
const TAG_SHIFT: u32 = 96;
/// Bits of the fingerprint of a prompt part that hold the identifier of the part.
const PART_ID_BITS: u32 = 64;

/// Kind of a fingerprint in findings about causes. The fingerprints of whole requests carry no tag;
/// one in 2^32 looks as if it did, and is then ignored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Tag {
    /// A candidate.
    Cause = 0x6361_7573,
    /// A team.
    Team = 0x7465_616d,
    /// An upstream that crashed.
    Upstream = 0x7570_7374,
    /// The remaining time of a rule in microseconds.
    Remaining = 0x7465_726d,
    /// Marks a report about candidates that are no cause.
    Answered = 0x616e_7377,
    /// The time in microseconds for which a request ran before its upstream crashed.
    RanFor = 0x7261_6e66,
    /// The start of a run of an upstream that has ended.
    EndedRun = 0x656e_6465,
}

impl Tag {
    const ALL: [Self; 7] = [
        Self::Cause,
        Self::Team,
        Self::Upstream,
        Self::Remaining,
        Self::Answered,
        Self::RanFor,
        Self::EndedRun,
    ];
}

impl Fingerprint {
    pub(crate) const fn with_tag(self, tag: Tag) -> Self {
        Self(((tag as u128) << TAG_SHIFT) | self.untagged())
    }

    pub(crate) const fn has_tag(self, tag: Tag) -> bool {
        self.0 >> TAG_SHIFT == tag as u128
    }

    /// Returns the bits below the tag.
    pub(crate) const fn untagged(self) -> u128 {
        self.0 & ((1 << TAG_SHIFT) - 1)
    }

    /// Returns the fingerprint of a part of the prompts of a service.
    ///
    /// The last 16 hexadecimal digits are the identifier of the part, so that log lines show it.
    ///
    /// ```
    /// use tsw_poison::Fingerprint;
    /// let part = Fingerprint::of_part(b"reviews", 0xab);
    /// assert!(format!("{:032x}", part.0).ends_with("00000000000000ab"));
    /// assert_ne!(part, Fingerprint::of_part(b"notes", 0xab));
    /// ```
    #[must_use]
    pub fn of_part(service: &[u8], id: u64) -> Self {
        let service = u128::from(xxh3::xxh3_64(service) as u32) << PART_ID_BITS;
        Self(service | u128::from(id)).with_tag(Tag::Cause)
    }

    /// Returns whether the fingerprint belongs to a finding about causes, and not to one about a whole
    /// request.
    #[must_use]
    pub fn is_tagged(self) -> bool {
        Tag::ALL.into_iter().any(|tag| self.has_tag(tag))
    }
}

/// What may be the cause if a request crashes an upstream: each part of its prompt, or the request
/// itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidates {
    pub(crate) team: Fingerprint,
    /// Fingerprints of the candidates, sorted.
    pub(crate) causes: Vec<Fingerprint>,
}

impl Candidates {
    /// Creates the candidates of a request of a team, with the fingerprints of the parts of its
    /// prompt, see [`Fingerprint::of_part`].
    ///
    /// ```
    /// use tsw_poison::{Candidates, Fingerprint};
    /// let parts = vec![Fingerprint::of_part(b"reviews", 1)];
    /// let first = Candidates::new(b"north", Fingerprint(7), parts.clone());
    /// assert_ne!(first, Candidates::new(b"north", Fingerprint(8), parts));
    /// ```
    #[must_use]
    pub fn new(team: &[u8], request: Fingerprint, mut parts: Vec<Fingerprint>) -> Self {
        parts.sort_unstable();
        parts.truncate(MAX_PARTS);
        parts.push(request.with_tag(Tag::Cause));
        let team = Fingerprint(xxh3::xxh3_128(team)).with_tag(Tag::Team);
        Self::from_causes(team, parts)
    }

    pub(crate) fn from_causes(team: Fingerprint, mut causes: Vec<Fingerprint>) -> Self {
        causes.sort_unstable();
        causes.dedup();
        Self { team, causes }
    }

    pub(crate) fn contains(&self, cause: Fingerprint) -> bool {
        self.causes.binary_search(&cause).is_ok()
    }

    /// Returns whether all of `causes` are among the candidates.
    pub(crate) fn contains_all(&self, causes: &[Fingerprint]) -> bool {
        causes.iter().all(|cause| self.contains(*cause))
    }
}
