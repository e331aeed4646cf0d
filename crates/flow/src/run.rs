//! Facts about runs of upstreams.
//!
//! A run is identified by the name of the upstream and the start that it states. Starts are compared for equality
//! only: the clock of a host may be set back between two runs, and an upstream may return on a host whose clock is
//! behind. The order of runs follows from the store's positions and from what this router sees begin and end.

use indexmap::IndexMap;
use tsw_route::Name;

/// Maximum number of upstreams of which runs are remembered. It exceeds the upstreams of a service.
const MAX_UPSTREAMS: usize = 4_096;
/// Maximum number of runs that are remembered of an upstream.
const MAX_RUNS: usize = 8;

/// What is known of runs, the latest ones of each upstream.
///
/// ```
/// use tsw_flow::run;
/// let mut ended = run::Map::default();
/// ended.insert(&"i-1".into(), 50, "crashed", |_| true);
/// ended.insert(&"i-1".into(), 40, "left", |_| true);
/// assert_eq!(ended.get("i-1", 50), Some(&"crashed"));
/// assert_eq!(ended.get("i-1", 45), None);
/// ```
#[derive(Clone, Debug)]
pub struct Map<T> {
    /// The runs of each upstream, the latest record last.
    upstreams: IndexMap<Name, Vec<(u64, T)>>,
}

impl<T> Default for Map<T> {
    fn default() -> Self {
        Self {
            upstreams: IndexMap::new(),
        }
    }
}

impl<T> Map<T> {
    /// Returns what is known of the run of an upstream that began at `started_at`.
    #[must_use]
    pub fn get(&self, upstream: &str, started_at: u64) -> Option<&T> {
        let mut runs = self.upstreams.get(upstream)?.iter();
        let found = runs.find(|(start, _)| *start == started_at);
        found.map(|(_, value)| value)
    }

    /// Records a run and returns what was known of it. If there are too many upstreams, the oldest ones that `is_kept`
    /// does not hold for are forgotten, or else the oldest.
    pub fn insert(
        &mut self,
        upstream: &Name,
        started_at: u64,
        value: T,
        is_kept: impl Fn(&Name) -> bool,
    ) -> Option<T> {
        let runs = self.upstreams.entry(upstream.clone()).or_default();
        let known = runs.iter().position(|(start, _)| *start == started_at);
        let known = known.map(|index| runs.remove(index).1);
        runs.push((started_at, value));
        if runs.len() > MAX_RUNS {
            runs.remove(0);
        }
        if self.upstreams.len() > MAX_UPSTREAMS {
            self.forget(is_kept);
        }
        known
    }

    /// Forgets many upstreams at once, since each removal in order moves all that remain.
    fn forget(&mut self, is_kept: impl Fn(&Name) -> bool) {
        let mut excess = MAX_UPSTREAMS / 8;
        self.upstreams.retain(|name, _| {
            let is_forgotten = excess > 0 && !is_kept(name);
            excess -= usize::from(is_forgotten);
            !is_forgotten
        });
        if self.upstreams.len() > MAX_UPSTREAMS {
            drop(self.upstreams.drain(..excess));
        }
    }

    /// Returns whether nothing is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Forgets the runs that are not among the present ones.
    pub fn retain_present(&mut self, is_present: impl Fn(&Name, u64) -> bool) {
        self.upstreams.retain(|name, runs| {
            runs.retain(|(started_at, _)| is_present(name, *started_at));
            !runs.is_empty()
        });
    }

    /// Forgets a run and returns what was known of it.
    pub fn remove(&mut self, upstream: &str, started_at: u64) -> Option<T> {
        let runs = self.upstreams.get_mut(upstream)?;
        let index = runs.iter().position(|(start, _)| *start == started_at)?;
        let (_, value) = runs.remove(index);
        if runs.is_empty() {
            self.upstreams.swap_remove(upstream);
        }
        Some(value)
    }

    /// Forgets the runs that a predicate does not hold for.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.upstreams.retain(|_, runs| {
            runs.retain(|(_, value)| keep(value));
            !runs.is_empty()
        });
    }
}
