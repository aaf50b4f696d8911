/// Tenths of a retry earned by each first attempt.
const EARNED_TENTHS: u32 = 2;
/// Most tenths of a retry saved up.
const SAVED_TENTHS: u32 = 200;

/// Bounds retries to a share of first attempts, so that a failing fleet does
/// not receive a multiple of its load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tenths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            tenths: SAVED_TENTHS,
        }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + EARNED_TENTHS).min(SAVED_TENTHS);
    }

    /// Takes one retry from the budget; false when there is none left.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.tenths >= 10;
        if enough {
            self.tenths -= 10;
        }
        enough
    }
}
