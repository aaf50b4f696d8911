/// Tenths of a retry that each first attempt adds.
const DEPOSIT_TENTHS: u32 = 2;
/// Most tenths of a retry that the budget holds.
const MAX_TENTHS: u32 = 200;

/// Bounds retries to a share of first attempts, so that a failing fleet does
/// not receive a multiple of its load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tenths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tenths: MAX_TENTHS }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + DEPOSIT_TENTHS).min(MAX_TENTHS);
    }

    /// Takes one retry from the budget; returns false if less than one is left.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.tenths >= 10;
        if enough {
            self.tenths -= 10;
        }
        enough
    }
}
