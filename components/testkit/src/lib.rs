//! Shared code of the tests of all components. A dev-dependency only.

pub use arbtest::arbitrary;

use arbitrary::{Result, Unstructured};

/// Random bytes for one case.
const CASE_BYTES: u64 = 4096;

/// Checks a property with a fixed set of seeds, so that every run is the same.
///
/// A failing case panics with its seed.
pub fn check_seeds(cases: u64, mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    for case in 0..cases {
        arbtest::arbtest(&mut property).seed((case << 32) | CASE_BYTES);
    }
}
