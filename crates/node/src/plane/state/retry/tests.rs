//! Backoff and log lines over runs of failures.

use super::*;

#[test]
fn backoff_doubles_up_to_the_maximum_and_resets_after_a_success() {
    let mut retry = Retry::default();
    let backoffs: Vec<u128> =
        (0..40).map(|_| retry.record_failure(Moment::ZERO).retry_after.as_millis()).collect();
    assert_eq!(backoffs[..7], [250, 500, 1000, 2000, 4000, 8000, 10_000]);
    assert!(backoffs[7..].iter().all(|backoff| *backoff == 10_000));
    assert_eq!((retry.record_success(), retry.is_failing()), (Some(40), false));
    assert_eq!(retry.record_failure(Moment::ZERO).retry_after, INITIAL_BACKOFF);
}

#[test]
fn an_intermittent_failure_is_logged_once_a_minute() {
    let mut retry = Retry::default();
    let warned = (0..1200).filter(|tenths| {
        let outcome = retry.record_failure(Duration::from_millis(100) * *tenths);
        assert_eq!(retry.record_success(), outcome.should_warn.then_some(1));
        outcome.should_warn
    });
    assert_eq!(warned.collect::<Vec<u32>>(), [0, 600]);
}
