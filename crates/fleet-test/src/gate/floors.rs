//! Floors for the classes, tenants and thirds of a run: of each, a minimum share of what the late-seeing policy serves
//! must be served.

use hallpin_simulation::invariants::{Second, Verdict};
use hallpin_simulation::run_spec::Effect;
use serde::Serialize;

use crate::day::Day;

/// Minimum served share of a whole run, a class and a third of a soak, relative to the late-seeing policy.
pub(super) const MIN_SHARE_OF_LATE: f64 = 0.5;
/// Minimum served share of a tenant inside its quota, relative to the late-seeing policy.
const MIN_TENANT_SHARE_OF_LATE: f64 = 1.0 / 3.0;
/// Minimum share of the requests or of the priority weight for a class to have a floor; for a tenant, of the
/// priority weight inside quotas.
const MIN_WEIGHT_SHARE: f64 = 0.05;
/// A class of which the late-seeing policy serves less than this share has no floor.
const MIN_LATE_SHARE: f64 = 0.3;
/// Number of equal parts of a soak.
const THIRDS: usize = 3;

/// A part of a run's requests with its own floor.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "of", content = "name", rename_all = "kebab-case")]
pub enum Part {
    /// A class of requests.
    Class(String),
    /// A tenant's requests inside its quota.
    Tenant(String),
    /// A third of a soak, counted from 1.
    Third(usize),
}

impl std::fmt::Display for Part {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Part::Class(name) => write!(f, "class {name}"),
            Part::Tenant(name) => write!(f, "tenant {name} inside its share"),
            Part::Third(number) => write!(f, "third {number} of the day"),
        }
    }
}

/// A part, its served share, and the share that the late-seeing policy served.
type Served = (Part, f64, f64);

/// Findings for the parts whose served share is below the floor.
pub(super) fn below_floor(day: Day, verdict: &Verdict, late: &Verdict) -> Vec<super::Finding> {
    let classes = classes(verdict, late).into_iter().map(|part| (part, MIN_SHARE_OF_LATE));
    let tenants = tenants(verdict, late).into_iter().map(|part| (part, MIN_TENANT_SHARE_OF_LATE));
    let thirds = if day == Day::Soak { thirds(verdict, late) } else { Vec::new() };
    let thirds = thirds.into_iter().map(|part| (part, MIN_SHARE_OF_LATE));
    let finding = |((part, served, late), factor): (Served, f64)| {
        let required = factor * late;
        (served < required).then_some(super::Finding::Floor { part, served, required })
    };
    classes.chain(tenants).chain(thirds).filter_map(finding).collect()
}

/// Classes with at least a twentieth of the requests or of the priority weight, or that are not idempotent, unless the
/// late-seeing policy itself serves little of them.
fn classes(verdict: &Verdict, late: &Verdict) -> Vec<Served> {
    let whole = verdict.all_requests;
    let has_floor = |requests: u64, worth: f64, effect| {
        let is_frequent = requests as f64 >= MIN_WEIGHT_SHARE * whole.requests as f64;
        is_frequent || worth >= MIN_WEIGHT_SHARE * whole.asked || effect != Effect::Free
    };
    let pairs = verdict.classes.iter().zip(&late.classes);
    pairs
        .filter(|(class, _)| has_floor(class.worth.requests, class.worth.asked, class.effect))
        .filter(|(_, late)| late.worth.share() >= MIN_LATE_SHARE)
        .map(|(class, late)| (Part::Class(class.name.clone()), class.worth.share(), late.worth.share()))
        .collect()
}

/// Tenants with at least a twentieth of the priority weight that was asked for inside quotas.
fn tenants(verdict: &Verdict, late: &Verdict) -> Vec<Served> {
    let inside: f64 = verdict.tenants.iter().map(|(_, worth)| worth.asked).sum();
    let pairs = verdict.tenants.iter().zip(&late.tenants);
    pairs
        .filter(|((_, worth), _)| worth.asked > 0.0 && worth.asked >= MIN_WEIGHT_SHARE * inside)
        .map(|((name, worth), (_, late))| (Part::Tenant(name.clone()), worth.share(), late.share()))
        .collect()
}

/// Thirds of a run, by time; a third in which nothing was asked for counts as fully served.
fn thirds(verdict: &Verdict, late: &Verdict) -> Vec<Served> {
    // Both runs have the same length, but the last second may be recorded in only one of them.
    let length = verdict.seconds.len().max(late.seconds.len());
    let share = |seconds: &[Second], third: usize| {
        let end = |third: usize| (length * third / THIRDS).min(seconds.len());
        let range = &seconds[end(third)..end(third + 1)];
        let (asked, served) = range.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.asked, sum.1 + s.served));
        if asked > 0.0 {
            served / asked
        } else {
            1.0
        }
    };
    let third = |n| (Part::Third(n + 1), share(&verdict.seconds, n), share(&late.seconds, n));
    (0..THIRDS).map(third).collect()
}

#[cfg(test)]
mod tests {
    use hallpin_simulation::invariants::{InvariantChecker, Worth};
    use hallpin_simulation::scenario::Scenario;

    use super::super::Finding;
    use super::*;

    fn worth(requests: u64, asked: f64, served: f64) -> Worth {
        Worth { requests, asked, served }
    }

    /// A run of 1,000 requests: reads, writes and a few of a third class, and two tenants.
    fn day() -> Verdict {
        let drawn = Scenario::default().draw(1).unwrap();
        let mut verdict = InvariantChecker::new(&drawn).verdict();
        let mut rare = verdict.classes[0].clone();
        rare.name = "rare".into();
        verdict.classes.push(rare);
        verdict.all_requests = worth(1000, 100.0, 90.0);
        verdict.classes[0].worth = worth(931, 90.0, 85.0);
        verdict.classes[1].worth = worth(20, 6.0, 5.0);
        verdict.classes[2].worth = worth(49, 4.0, 4.0);
        verdict.tenants = vec![("a".into(), worth(950, 95.0, 90.0)), ("b".into(), worth(50, 5.0, 5.0))];
        verdict.seconds = vec![Second { asked: 1.0, served: 1.0, ..Second::default() }; 30];
        verdict
    }

    fn parts(day: Day, verdict: &Verdict, late: &Verdict) -> Vec<Part> {
        let part = |finding| match finding {
            Finding::Floor { part, .. } => part,
            other => panic!("{other}"),
        };
        below_floor(day, verdict, late).into_iter().map(part).collect()
    }

    #[test]
    fn a_class_needs_half_of_the_late_seeing_share() {
        let (good, class) = (day(), |name: &str| vec![Part::Class(name.into())]);
        assert_eq!(parts(Day::Zone, &good, &good), []);
        let served = |n: usize, requests: u64, asked: f64, served: f64| {
            let mut day = day();
            day.classes[n].worth = worth(requests, asked, served);
            day
        };
        // Writes are few and not idempotent.
        let writes = served(1, 20, 1.0, 0.4);
        assert_eq!(parts(Day::Zone, &writes, &good), class("report"));
        assert_eq!(parts(Day::Zone, &served(1, 20, 1.0, 0.42), &good), [], "half of 5 in 6");
        // The third class is idempotent and has less than a twentieth of both requests and weight; then of only one.
        assert_eq!(parts(Day::Zone, &served(2, 49, 4.9, 0.0), &good), []);
        assert_eq!(parts(Day::Zone, &served(2, 50, 4.9, 0.0), &good), class("rare"));
        assert_eq!(parts(Day::Zone, &served(2, 49, 5.0, 0.0), &good), class("rare"));
        // A class of which the late-seeing policy serves little has no floor.
        assert_eq!(parts(Day::Zone, &writes, &served(1, 20, 1.0, 0.29)), []);
        assert_eq!(parts(Day::Zone, &served(1, 20, 1.0, 0.1), &served(1, 20, 1.0, 0.3)), class("report"));
    }

    #[test]
    fn a_tenant_needs_a_third_of_the_late_seeing_share_inside_its_quota() {
        let good = day();
        let of = |asked: f64, served: f64| {
            let mut day = day();
            day.tenants[1].1 = worth(50, asked, served);
            day
        };
        assert_eq!(parts(Day::Calm, &of(5.0, 1.6), &good), [Part::Tenant("b".into())]);
        assert_eq!(parts(Day::Calm, &of(5.0, 1.7), &good), []);
        assert_eq!(parts(Day::Calm, &of(4.9, 0.0), &good), [], "below a twentieth of the weight");
    }

    #[test]
    fn each_third_of_a_soak_has_a_floor() {
        let (good, mut bad) = (day(), day());
        bad.seconds[10..20].iter_mut().for_each(|s| s.served = 0.49);
        assert_eq!(parts(Day::Soak, &bad, &good), [Part::Third(2)]);
        assert_eq!(parts(Day::Herd, &bad, &good), [], "other scenarios have none");
        bad.seconds[10..20].iter_mut().for_each(|s| s.served = 0.5);
        assert_eq!(parts(Day::Soak, &bad, &good), []);
    }
}
