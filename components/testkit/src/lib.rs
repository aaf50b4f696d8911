//! Helpers for the tests of all components. Development only.

pub use arbtest::arbitrary;

use arbitrary::{Result, Unstructured};

/// Bytes of randomness for one case.
const SIZE: u64 = 4096;

/// Runs a property over a fixed set of seeds, so that every run is the same.
///
/// A failing case prints its seed.
pub fn check_seeds(cases: u64, mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    for case in 0..cases {
        arbtest::arbtest(&mut property).seed((case << 32) | SIZE);
    }
}
