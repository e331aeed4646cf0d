//! Message between routers about runs of upstreams that have ended.

use tsw_base::{name, time::Span};

use crate::{
    candidates::Tag,
    cause,
    message::{Finding, Findings, Fingerprint, Verdict},
};

/// A run of an upstream that ended in a crash, so that another process may answer at its address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedRun {
    upstream: Fingerprint,
    /// Start of the run, in milliseconds since 1970. On the own interface, which knows no start, the revision of the
    /// host list that names the run.
    pub started_at: u64,
    /// Time since its end was found, so that what is told again is not taken for a later end.
    pub age: Span,
}

impl EndedRun {
    /// Creates the message about a run of an upstream.
    #[must_use]
    pub fn new(upstream: &name::Upstream, started_at: u64) -> Self {
        Self {
            upstream: cause::upstream(upstream),
            started_at,
            age: Span::ZERO,
        }
    }

    /// Returns the run with the time since its end was found.
    #[must_use]
    pub const fn with_age(self, age: Span) -> Self {
        Self { age, ..self }
    }

    /// Returns whether the run is one of this upstream.
    #[must_use]
    pub fn is_of(&self, upstream: &name::Upstream) -> bool {
        self.upstream == cause::upstream(upstream)
    }

    /// Returns the fingerprint of the upstream.
    #[must_use]
    pub const fn upstream(&self) -> Fingerprint {
        self.upstream
    }

    /// Returns the run as findings, which routers of older versions ignore.
    ///
    /// ```
    /// use tsw_poison::ended_run::EndedRun;
    /// use tsw_base::time::Span;
    /// let run = EndedRun::new(&"engine-1".parse()?, 1_700_000_000_000);
    /// let run = run.with_age(Span::from_secs(2));
    /// assert_eq!(EndedRun::parse(&run.findings()), Some(run));
    /// # Ok::<(), tsw_base::name::Error>(())
    /// ```
    #[must_use]
    pub fn findings(&self) -> Findings {
        let start = Fingerprint(u128::from(self.started_at)).with_tag(Tag::EndedRun);
        // Routers of older versions read only the fingerprints, and take each end for a new one.
        let age = match self.age {
            Span::ZERO => Verdict::Cleared,
            remaining => Verdict::Confirmed { remaining },
        };
        let finding = |fingerprint, verdict| Finding {
            fingerprint,
            verdict,
        };
        Findings {
            findings: vec![
                finding(self.upstream, Verdict::Cleared),
                finding(start, age),
            ],
        }
    }

    /// Returns the run that findings are about, if they are about one.
    #[must_use]
    pub fn parse(findings: &Findings) -> Option<Self> {
        let [upstream, start] = &findings.findings[..] else {
            return None;
        };
        let age = match start.verdict {
            Verdict::Confirmed { remaining } => remaining,
            Verdict::Suspected { .. } | Verdict::Cleared => Span::ZERO,
        };
        let (upstream, start) = (upstream.fingerprint, start.fingerprint);
        let is_run = upstream.has_tag(Tag::Upstream) && start.has_tag(Tag::EndedRun);
        is_run.then_some(Self {
            upstream,
            started_at: u64::try_from(start.untagged()).unwrap_or(u64::MAX),
            age,
        })
    }
}
