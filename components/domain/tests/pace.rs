//! Checked pace of an upstream.

use domain::{Pace, PaceError};

/// A zero would make every expected time zero and draw all requests to the upstream; other
/// absurd figures would exclude it.
#[test]
fn figures_that_no_engine_has_are_no_pace() {
    let paces = [250.0, 99.6, 10.0, 10_000.0].map(|p| Pace::try_from(p).unwrap().percent());

    assert_eq!(paces, [250, 100, 10, 10_000]);
    assert_eq!(Pace::try_from(0.0), Err(PaceError::Zero));
    assert_eq!(Pace::try_from(0_u16), Err(PaceError::Zero));
    assert_eq!(Pace::try_from(f64::NAN), Err(PaceError::NotANumber));
    for absurd in [-250.0, 9.9, 10_000.1, f64::INFINITY] {
        let error = Pace::try_from(absurd).unwrap_err();
        assert!(matches!(error, PaceError::OutOfRange { .. }), "{absurd}");
    }
}

#[test]
fn usual_pace_has_factor_one() {
    let factors = [Pace::USUAL, Pace::try_from(250.0).unwrap()].map(Pace::factor);

    assert_eq!(factors, [1.0, 2.5]);
}
