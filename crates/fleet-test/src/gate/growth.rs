//! Whether a table of the module grows all day.

use hallpin_balancer::Sizes;
use hallpin_simulation::time::Time;

use super::Finding;

/// A table of the module grows where the last third of a soak holds this many times what the second did, and so many
/// entries more.
const GROWTH: f64 = 1.25;
const SLACK: usize = 64;
/// The first third is for warming up.
const LEAST_LOOKS: usize = 9;

/// Tables that grew: the last third of the day against the second.
pub(super) fn grown(sizes: &[(Time, Sizes)]) -> Vec<Finding> {
    if sizes.len() < LEAST_LOOKS {
        return Vec::new();
    }
    let third = sizes.len() / 3;
    let most =
        |of: &[(Time, Sizes)]| of.iter().map(|(_, s)| *s).fold(Sizes::default(), Sizes::max_of_each).tables();
    let (second, last) = (most(&sizes[third..2 * third]), most(&sizes[2 * third..]));
    let grew = |((table, before), (_, after)): ((&'static str, usize), (&'static str, usize))| {
        let bound = before as f64 * GROWTH + SLACK as f64;
        (after as f64 > bound).then_some(Finding::Grew { table, before, after })
    };
    second.into_iter().zip(last).filter_map(grew).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_table_that_grows_is_found_and_one_that_breathes_is_not() {
        let looks = |places: &dyn Fn(usize) -> usize| -> Vec<(Time, Sizes)> {
            (0..30).map(|n| (Time(n), Sizes { places: places(n as usize), ..Sizes::default() })).collect()
        };
        let before_last = 1000 + 40 * 19;
        assert_eq!(
            grown(&looks(&|n| 1000 + 40 * n)),
            [],
            "{before_last} to 2160 is within the bound: that is what a bound of a quarter bears"
        );
        let doubled = grown(&looks(&|n| 100 * n));
        assert_eq!(doubled, [Finding::Grew { table: "places", before: 1900, after: 2900 }]);
        assert_eq!(grown(&looks(&|n| 500 + 100 * (n % 3))), []);
        assert_eq!(grown(&looks(&|n| 1000 * n)[..8]), [], "too short a day says nothing");
    }
}
