//! Unit tests; the tests of several nodes together are in `tests/`.

use std::time::Duration;

use crate::ClockDrift;

#[test]
fn a_lengthened_promise_of_the_longest_fitting_length_fits() {
    for ppm in [0, 1, 20_000, 333_333] {
        for length in [0, 1, 7, 999_999_999, 86_400_000_000_001].map(Duration::from_nanos) {
            let drift = ClockDrift(ppm);
            let promise = drift.longest_promise_within(length);
            assert!(drift.lengthen(promise) <= length, "{ppm} {length:?}");
            assert!(drift.shorten(length) <= length && length <= drift.lengthen(length));
        }
    }
}
