//! Decides which listed boxes belong in a placement table, and with which weight.

use hallpin_balancer::{CacheMode, EndpointEntry, ServerState, Settings, WeightSource};

/// Rules for the weight of a list entry in a placement table.
#[derive(Clone, Debug, Default)]
pub struct TableWeights {
    /// The entry kind of the planner, which is not a box.
    origin_kind: Option<String>,
    /// Whether a box weighs what its list entry says, which is its configured size. Otherwise each box weighs 1, as
    /// entries may carry live values that differ between lists.
    uses_entry_weight: bool,
}

impl TableWeights {
    /// Derives the rules from the balancer's settings.
    pub fn from_settings(settings: &Settings) -> Self {
        let origin_kind = match &settings.cache {
            CacheMode::Aside { origin_kind } => Some(origin_kind.clone()),
            CacheMode::Through => None,
        };
        let uses_entry_weight = matches!(settings.weights, WeightSource::Nominal | WeightSource::Rough);
        TableWeights { origin_kind, uses_entry_weight }
    }

    /// Weight in thousandths; `None` for an entry that is not in placement tables.
    pub fn weight_milli(&self, entry: &EndpointEntry) -> Option<u32> {
        let is_placed = entry.state == ServerState::Ready && self.origin_kind.as_ref() != Some(&entry.kind);
        // The cast saturates, and NaN becomes 0.
        let milli = if self.uses_entry_weight { (entry.weight * 1000.0).round() as u32 } else { 1000 };
        is_placed.then_some(milli)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_table_has_ready_boxes_without_the_planner_and_uses_only_stable_weights() {
        let entry =
            |state, kind: &str| EndpointEntry { state, kind: kind.into(), weight: 2.5, ..Default::default() };
        let boxes =
            [(ServerState::Ready, "m"), (ServerState::Draining, "m"), (ServerState::Ready, "planner")];
        let weights = |cache, weights| {
            let settings = Settings { cache, weights, ..Settings::default() };
            boxes
                .map(|(state, kind)| TableWeights::from_settings(&settings).weight_milli(&entry(state, kind)))
        };
        let aside = CacheMode::Aside { origin_kind: "planner".into() };
        assert_eq!(weights(CacheMode::Through, WeightSource::Nominal), [Some(2500), None, Some(2500)]);
        assert_eq!(weights(CacheMode::Through, WeightSource::Live), [Some(1000), None, Some(1000)]);
        assert_eq!(weights(aside, WeightSource::Off), [Some(1000), None, None]);
    }
}
