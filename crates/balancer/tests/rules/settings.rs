//! Invalid settings.

use hallpin_balancer::*;

use crate::common::*;

#[test]
fn invalid_settings_are_errors_that_name_the_value() {
    let error_of = |change: &dyn Fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Balancer::new(s, 1).err().expect("an error").to_string()
    };
    assert!(error_of(&|s| s.balancers = 0).contains("balancers"));
    assert!(error_of(&|s| s.classes.clear()).contains("classes"));
    assert!(error_of(&|s| s.guarantees.slow_start_duration = -1.0).contains("guarantees.ramp-time-s"));
    assert!(error_of(&|s| s.guarantees.initial_capacity_share = f64::NAN).contains("guarantees.cold-from"));
    assert!(error_of(&|s| s.classes[0].deadline = 0.0).contains("read"));
}
