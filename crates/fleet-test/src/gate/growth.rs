//! Detects tables of the decision module that keep growing.

use hallpin_balancer::Sizes;
use hallpin_simulation::time::Time;

use super::Finding;

/// A table keeps growing if its maximum in the last third of a soak exceeds that of the second third times this factor,
/// plus [`SLACK_ENTRIES`]. The first third is for warming up.
const GROWTH_FACTOR: f64 = 1.25;
/// Entries that a table may gain beyond the factor.
const SLACK_ENTRIES: usize = 64;
/// Minimum number of samples for a result.
const MIN_SAMPLES: usize = 9;

/// Findings for the tables that grew beyond the bound from the second third of the run to the last; none if
/// there are fewer than 9 samples.
pub(super) fn growing_tables(sizes: &[(Time, Sizes)]) -> Vec<Finding> {
    if sizes.len() < MIN_SAMPLES {
        return Vec::new();
    }
    let third = sizes.len() / 3;
    let max_sizes =
        |of: &[(Time, Sizes)]| of.iter().map(|(_, s)| *s).fold(Sizes::default(), Sizes::max_of_each).tables();
    let (second, last) = (max_sizes(&sizes[third..2 * third]), max_sizes(&sizes[2 * third..]));
    let growth = |((table, before), (_, after)): ((&'static str, usize), (&'static str, usize))| {
        let bound = before as f64 * GROWTH_FACTOR + SLACK_ENTRIES as f64;
        (after as f64 > bound).then_some(Finding::Grew { table, before, after })
    };
    second.into_iter().zip(last).filter_map(growth).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_growing_table_is_found_and_a_fluctuating_one_is_not() {
        let samples = |places: &dyn Fn(usize) -> usize| -> Vec<(Time, Sizes)> {
            (0..30).map(|n| (Time(n), Sizes { places: places(n as usize), ..Sizes::default() })).collect()
        };
        let before_last = 1000 + 40 * 19;
        assert_eq!(
            growing_tables(&samples(&|n| 1000 + 40 * n)),
            [],
            "{before_last} to 2160 is within the bound of a quarter"
        );
        let doubled = growing_tables(&samples(&|n| 100 * n));
        assert_eq!(doubled, [Finding::Grew { table: "places", before: 1900, after: 2900 }]);
        assert_eq!(growing_tables(&samples(&|n| 500 + 100 * (n % 3))), []);
        assert_eq!(growing_tables(&samples(&|n| 1000 * n)[..8]), [], "too few samples for a result");
    }
}
