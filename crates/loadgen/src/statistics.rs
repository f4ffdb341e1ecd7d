//! Quartiles of a sample.

/// Five-number summary of a sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quartiles {
    /// Minimum.
    pub min: f64,
    /// First quartile: 25 % of the sample lies below it.
    pub lower_quartile: f64,
    /// Median.
    pub median: f64,
    /// Third quartile: 25 % of the sample lies above it.
    pub upper_quartile: f64,
    /// Maximum.
    pub max: f64,
}

/// Computes the five-number summary, interpolating linearly between neighbours; `None` for an empty sample.
pub fn quartiles(sample: impl IntoIterator<Item = f64>) -> Option<Quartiles> {
    let mut sorted: Vec<f64> = sample.into_iter().collect();
    sorted.sort_by(f64::total_cmp);
    let value_at = |fraction: f64| {
        let position = fraction * (sorted.len() - 1) as f64;
        let (below, above) = (sorted[position.floor() as usize], sorted[position.ceil() as usize]);
        below + (above - below) * position.fract()
    };
    (!sorted.is_empty()).then(|| Quartiles {
        min: value_at(0.0),
        lower_quartile: value_at(0.25),
        median: value_at(0.5),
        upper_quartile: value_at(0.75),
        max: value_at(1.0),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quartiles_lie_between_their_neighbours() {
        assert_eq!(quartiles([]), None);
        let s = quartiles([4.0, 1.0, 3.0, 2.0]).unwrap();
        assert_eq!((s.min, s.lower_quartile, s.median, s.upper_quartile, s.max), (1.0, 1.75, 2.5, 3.25, 4.0));
    }
}
