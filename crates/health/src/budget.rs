//! Limits extra attempts, such as hedges and retries, to a percentage of the requests.

/// Cost of one extra attempt, in hundredths of an attempt.
const ATTEMPT_COST: u64 = 100;

/// A budget to which each request adds a share of an attempt and from which each extra attempt takes
/// one.
///
/// ```
/// use tsw_health::budget::AttemptBudget;
///
/// let mut budget = AttemptBudget::new(10, 1);
/// assert!(budget.try_acquire());
/// assert!(!budget.try_acquire());
/// (0..10).for_each(|_| budget.record_request());
/// assert!(budget.try_acquire());
/// ```
#[derive(Clone, Debug)]
pub struct AttemptBudget {
    percent: u32,
    capacity: u64,
    balance: u64,
}

impl AttemptBudget {
    /// Creates a budget that allows extra attempts for `percent` percent of the requests.
    ///
    /// At most `burst` attempts can be saved up. The budget starts with that many.
    #[must_use]
    pub const fn new(percent: u32, burst: u32) -> Self {
        let capacity = burst as u64 * ATTEMPT_COST;
        Self {
            percent,
            capacity,
            balance: capacity,
        }
    }

    /// Adds the share of one request to the budget.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + u64::from(self.percent)).min(self.capacity);
    }

    /// Takes one extra attempt out of the budget if it allows one. Returns whether it does.
    #[must_use]
    pub fn try_acquire(&mut self) -> bool {
        let allowed = self.balance >= ATTEMPT_COST;
        if allowed {
            self.balance -= ATTEMPT_COST;
        }
        allowed
    }
}
