use derive_more::{Display, Error};

/// Smallest accepted statement in percent of the usual time.
const MIN_PERCENT: f64 = 10.0;
/// Largest accepted statement. No engine that still answers is a hundred times slower than
/// usual, so that more is a fault of the sender or another unit.
const MAX_PERCENT: f64 = 10_000.0;

/// Time that work takes on a machine at present, in percent of the usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace(u16);

/// Why a figure is no pace.
#[derive(Debug, Clone, Copy, PartialEq, Display, Error)]
pub enum PaceError {
    /// It is not a number.
    #[display("the pace is not a number")]
    NotANumber,
    /// It is zero: no work takes no time, and senders that do not measure write it.
    #[display("the pace is zero")]
    Zero,
    /// It is outside the accepted range.
    #[display("a pace of {percent} % is outside 10 to 10,000 %")]
    OutOfRange {
        /// The figure in percent.
        percent: f64,
    },
}

impl Pace {
    /// The usual pace.
    pub const USUAL: Pace = Pace(100);

    /// Time in percent of the usual time.
    pub fn percent(self) -> u16 {
        self.0
    }

    /// Time relative to the usual time; 1 is usual, more is slower.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl TryFrom<f64> for Pace {
    type Error = PaceError;

    fn try_from(percent: f64) -> Result<Self, PaceError> {
        if percent.is_nan() {
            return Err(PaceError::NotANumber);
        }
        if percent == 0.0 {
            return Err(PaceError::Zero);
        }
        if !(MIN_PERCENT..=MAX_PERCENT).contains(&percent) {
            return Err(PaceError::OutOfRange { percent });
        }
        // Within the range of the type after the checks.
        Ok(Pace(percent.round() as u16))
    }
}

impl TryFrom<u16> for Pace {
    type Error = PaceError;

    fn try_from(percent: u16) -> Result<Self, PaceError> {
        Pace::try_from(f64::from(percent))
    }
}
