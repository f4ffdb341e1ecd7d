//! The scenarios of the trial. They are compiled into the program; their files in `scenarios/trial/` can also be run
//! with `hallpin emulate`.

use hallpin_simulation::scenario::{Scenario, ScenarioFileError};
use hallpin_simulation::time::Span;
use serde::Serialize;

/// A scenario of the trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Day {
    /// No faults.
    Calm,
    /// Boxes are replaced while nodes restart.
    Roll,
    /// Most nodes are killed at once.
    Herd,
    /// A depot fails and another one is partitioned.
    Zone,
    /// A depot is partitioned, list updates are late and answers are lost.
    Split,
    /// Most boxes are replaced at once.
    Join,
    /// A run of 45 minutes.
    Soak,
}

impl Day {
    /// All scenarios, in the order of the report.
    pub const ALL: [Day; 7] = [Day::Calm, Day::Roll, Day::Herd, Day::Zone, Day::Split, Day::Join, Day::Soak];

    /// Scenarios of a quick trial.
    pub const QUICK: [Day; 3] = [Day::Calm, Day::Herd, Day::Split];

    /// Name of the scenario in reports and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Day::Calm => "calm",
            Day::Roll => "roll",
            Day::Herd => "herd",
            Day::Zone => "zone",
            Day::Split => "split",
            Day::Join => "join",
            Day::Soak => "soak",
        }
    }

    /// TOML text of the scenario.
    fn text(self) -> &'static str {
        match self {
            Day::Calm => include_str!("../../../scenarios/trial/calm.toml"),
            Day::Roll => include_str!("../../../scenarios/trial/roll.toml"),
            Day::Herd => include_str!("../../../scenarios/trial/herd.toml"),
            Day::Zone => include_str!("../../../scenarios/trial/zone.toml"),
            Day::Split => include_str!("../../../scenarios/trial/split.toml"),
            Day::Join => include_str!("../../../scenarios/trial/join.toml"),
            Day::Soak => include_str!("../../../scenarios/trial/soak.toml"),
        }
    }

    /// Parses the scenario and scales it to the given size.
    ///
    /// # Errors
    /// If the scenario that was compiled in is invalid.
    pub fn scenario(self, size: Size) -> Result<Scenario, ScenarioFileError> {
        let mut scenario = Scenario::parse(self.text())?;
        if let Some(nodes) = size.nodes {
            scenario = scenario.scaled(nodes);
        }
        if let (Some(length), Day::Soak) = (size.soak, self) {
            scenario = scenario.shortened(length);
        }
        Ok(scenario)
    }
}

/// Upper limits on the size of the scenarios; full size by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Maximum number of nodes; everything else is scaled in proportion.
    pub nodes: Option<u32>,
    /// Maximum length of the soak scenario.
    pub soak: Option<Span>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn scenarios_have_the_stated_size_and_scale_in_proportion() {
        for day in Day::ALL {
            let full = day.scenario(Size::default()).unwrap();
            assert_eq!(full.name, day.name());
            let max_boxes: u32 = full.boxes.iter().map(|kind| kind.count.high).sum();
            assert!(max_boxes <= 200, "{}: {max_boxes}", full.name);
            let drawn = full.draw(1).unwrap();
            assert_eq!(drawn.nodes.len(), if day == Day::Soak { 6 } else { 300 });
            let small =
                day.scenario(Size { nodes: Some(60), soak: Some(Span::from_millis(60_000)) }).unwrap();
            small.check().unwrap();
            let rate_ratio = small.clients.rate.low / full.clients.rate.low;
            let box_ratio = f64::from(small.boxes[0].count.high) / f64::from(full.boxes[0].count.high);
            let expected = if day == Day::Soak { 1.0 } else { 0.2 };
            assert!((rate_ratio - expected).abs() < 1e-9, "{}: {rate_ratio}", full.name);
            assert!((box_ratio - expected).abs() < 0.01, "{}: {box_ratio}", full.name);
            let small = small.draw(1).unwrap();
            assert_eq!(small.nodes.len(), drawn.nodes.len().min(60));
            assert_eq!(small.length, Span::from_millis(60_000));
        }
    }
}
