//! A trial's result does not depend on the parallelism, and an aborted trial does not pass.

use hallpin_simulation::time::Span;

use super::*;

fn plan(days: &[Day]) -> TrialPlan {
    let size = Size { nodes: Some(3), soak: Some(Span::from_millis(30_000)) };
    TrialPlan {
        days: days.to_vec(),
        seeds: vec![1, 2],
        size,
        late_seeing_delay_ms: 1000,
        plane: Switch::Off,
        jobs: None,
    }
}

#[test]
fn the_result_does_not_depend_on_the_number_of_parallel_runs() {
    let played = |jobs| {
        let plan = TrialPlan { jobs: NonZeroUsize::new(jobs), ..plan(&[Day::Calm, Day::Soak]) };
        trial(&plan, &AtomicBool::new(false), &|| {}).unwrap()
    };
    let (one, four) = (played(1), played(4));
    assert_eq!(format!("{:?}", one.results), format!("{:?}", four.results));
    assert_eq!((one.results.len(), one.is_complete()), (4, true));
    let order: Vec<(Day, u64)> = one.results.iter().map(|r| (r.day, r.seed)).collect();
    assert_eq!(order, [(Day::Calm, 1), (Day::Calm, 2), (Day::Soak, 1), (Day::Soak, 2)]);
}

#[test]
fn an_aborted_trial_keeps_its_results_and_does_not_pass() {
    let (stop, ends) = (AtomicBool::new(false), AtomicUsize::new(0));
    let plan = TrialPlan { jobs: NonZeroUsize::new(1), ..plan(&[Day::Calm]) };
    let ended = || {
        if ends.fetch_add(1, Ordering::Relaxed) == 3 {
            stop.store(true, Ordering::Relaxed);
        }
    };
    let trial = trial(&plan, &stop, &ended).unwrap();
    assert_eq!((trial.results.len(), trial.planned, trial.is_complete()), (1, 2, false));
    assert!(!trial.passed());
}
