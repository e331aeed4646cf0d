//! Bounds extra work, such as hedges and retries, to a part of the requests.

/// What one piece of extra work costs, in hundredths.
const COST: u64 = 100;

/// A budget that each request adds to and each piece of extra work draws on.
///
/// ```
/// use tsw_health::budget::Budget;
///
/// let mut budget = Budget::new(10, 1);
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// (0..10).for_each(|_| budget.earn());
/// assert!(budget.spend());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u32,
    most: u64,
    balance: u64,
}

impl Budget {
    /// Makes a budget of `percent` percent of the requests, of which `burst` pieces can be saved up
    /// and are there at the start.
    #[must_use]
    pub const fn new(percent: u32, burst: u32) -> Self {
        let most = burst as u64 * COST;
        Self {
            percent,
            most,
            balance: most,
        }
    }

    /// Notes a request.
    pub fn earn(&mut self) {
        self.balance = (self.balance + u64::from(self.percent)).min(self.most);
    }

    /// Draws one piece of extra work; returns whether the budget allows it.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let allowed = self.balance >= COST;
        if allowed {
            self.balance -= COST;
        }
        allowed
    }
}
