//! Weighted max-min fairness in integers by progressive filling (Bertsekas and Gallager, Data Networks, 6.5.2): all
//! claims grow in proportion to their weights until each demand is met or the amount is used up.

/// One claim on an amount.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claim {
    /// From 1 to 65535.
    pub(crate) weight: u32,
    /// What the claimant already has; the division never reduces it.
    pub(crate) floor: u32,
    /// Total demand, the floor included; a demand below the floor counts as the floor.
    pub(crate) demand: u32,
}

impl Claim {
    /// The claim's share of the amount at a fill level, in 65536ths per unit of weight.
    fn at(&self, level: u64) -> u32 {
        let level_share = u32::try_from((level * u64::from(self.weight)) >> 16).unwrap_or(u32::MAX);
        level_share.clamp(self.floor, self.demand.max(self.floor)) - self.floor
    }
}

/// Divides an amount and returns each claim's allotment; their sum never exceeds the amount. The remainder of rounding
/// is handed out in ones, beginning with the claim at `rotation`, so that callers who vary it share the remainder
/// fairly.
pub(crate) fn max_min(amount: u32, claims: &[Claim], rotation: usize) -> Vec<u32> {
    let highest = claims.iter().map(|claim| claim.demand).max().unwrap_or(0);
    let sum = |level: u64| claims.iter().map(|claim| u64::from(claim.at(level))).sum::<u64>();
    let (mut fits, mut too_high) = (0u64, (u64::from(highest) + 1) << 16);
    if sum(too_high) <= u64::from(amount) {
        fits = too_high;
    }
    while too_high - fits > 1 {
        let level = fits + (too_high - fits) / 2;
        if sum(level) <= u64::from(amount) {
            fits = level;
        } else {
            too_high = level;
        }
    }
    let mut allotments: Vec<u32> = claims.iter().map(|claim| claim.at(fits)).collect();
    let mut remainder = amount - allotments.iter().sum::<u32>();
    for step in 0..claims.len() {
        let index = (rotation + step) % claims.len();
        if remainder > 0 && claims[index].at(fits + 1) > allotments[index] {
            allotments[index] += 1;
            remainder -= 1;
        }
    }
    allotments
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn claims() -> impl Strategy<Value = Vec<Claim>> {
        let claim = (1u32..1000, 0u32..50, 0u32..3000);
        let claim = claim.prop_map(|(weight, floor, demand)| Claim { weight, floor, demand });
        proptest::collection::vec(claim, 1..20)
    }

    proptest! {
        #[test]
        fn the_division_is_exhaustive_and_max_min_fair(amount in 0u32..5000, claims in claims(), rotation in 0usize..40) {
            let shares = max_min(amount, &claims, rotation);
            let unmet = |claim: &Claim| claim.demand.saturating_sub(claim.floor);
            prop_assert!(claims.iter().zip(&shares).all(|(claim, share)| *share <= unmet(claim)));
            let most = claims.iter().map(unmet).sum::<u32>().min(amount);
            prop_assert_eq!(shares.iter().sum::<u32>(), most);
            for (claim, share) in claims.iter().zip(&shares).filter(|(claim, share)| **share < unmet(claim)) {
                for (other, other_share) in claims.iter().zip(&shares).filter(|(_, share)| **share > 0) {
                    let (mine, theirs) = (claim.floor + share + 1, other.floor + other_share - 1);
                    let (low, high) = (u64::from(theirs * claim.weight), u64::from(mine * other.weight));
                    // Fill levels have a resolution of 1/65536.
                    prop_assert!(low <= high + 1 + (u64::from(claim.weight * other.weight) >> 16));
                }
            }
        }
    }
}
