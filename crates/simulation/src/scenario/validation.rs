//! Validation of scenarios that parse but may hold invalid or contradictory values.

use std::collections::BTreeSet;

use super::fields::check_fields;
use super::{s, IncidentFile, IncidentKind, InvalidField, Scenario};
use crate::run_spec::Effect;

impl Scenario {
    /// Checks the scenario for invalid or contradictory values.
    ///
    /// # Errors
    /// Names the first invalid field.
    pub fn check(&self) -> Result<(), InvalidField> {
        let error = |path: &str, what: String| Err(InvalidField { path: path.into(), what });
        if self.version != 1 {
            return error("version", format!("1 expected, got {}", self.version));
        }
        if self.depots.is_empty() {
            return error("depots", "at least one expected, got none".into());
        }
        if self.length.low < s(1) {
            return error("length", format!("1s or more expected, got {}", self.length.low));
        }
        if self.nodes.count.low == 0 {
            return error("nodes.count", "at least 1 expected, got 0".into());
        }
        if self.keys.count.low == 0 {
            return error("keys.count", "at least 1 expected, got 0".into());
        }
        if self.planner.places.low == 0 {
            return error("planner.places", "at least 1 expected, got 0".into());
        }
        if self.min_boxes() == 0 {
            return error("boxes", "at least one box expected, got none".into());
        }
        if self.classes.is_empty() {
            return error("classes", "at least one expected, got none".into());
        }
        self.check_ranges()?;
        self.check_classes()?;
        let mut drained = 0;
        for (n, incident) in self.incidents.iter().enumerate() {
            let what = self.check_incident(incident, &mut drained);
            what.map_err(|(field, what)| InvalidField { path: format!("incidents[{n}].{field}"), what })?;
        }
        Ok(())
    }

    fn check_ranges(&self) -> Result<(), InvalidField> {
        let mut shares: Vec<(String, f64, f64)> = vec![
            ("clients.try_share".into(), self.clients.try_share.low, self.clients.try_share.high),
            ("clients.honours".into(), self.clients.honours.low, self.clients.honours.high),
            ("clients.abandons".into(), self.clients.abandons.low, self.clients.abandons.high),
            ("network.message_loss".into(), self.network.message_loss.low, self.network.message_loss.high),
            ("keys.drift".into(), self.keys.drift.low, self.keys.drift.high),
        ];
        let mut positive: Vec<(String, f64)> = vec![("clients.rate".into(), self.clients.rate.low)];
        for (n, b) in self.boxes.iter().enumerate() {
            let field = |name: &str| format!("boxes[{n}].{name}");
            shares.push((field("cold_from"), b.cold_from.low, b.cold_from.high));
            shares.push((field("error_rate"), b.error_rate.low, b.error_rate.high));
            shares.push((field("table_tax"), b.table_tax.low, b.table_tax.high));
            shares.push((field("miss_holds"), b.miss_holds, b.miss_holds));
            shares.push((field("drops_cancelled"), b.drops_cancelled, b.drops_cancelled));
            for (name, value) in [
                ("cores", b.cores.low),
                ("speed", b.speed.low),
                ("size", b.size),
                ("slots_per_core", b.slots_per_core.low),
                ("cold_from", b.cold_from.low),
            ] {
                positive.push((field(name), value));
            }
        }
        for (path, low, high) in shares {
            if !(low >= 0.0 && high <= 1.0) {
                return Err(InvalidField {
                    path,
                    what: format!("shares from 0 to 1 expected, got {low} to {high}"),
                });
            }
        }
        for (path, value) in positive {
            if !(value > 0.0 && value.is_finite()) {
                return Err(InvalidField { path, what: format!("a number above 0 expected, got {value}") });
            }
        }
        Ok(())
    }

    fn check_classes(&self) -> Result<(), InvalidField> {
        let mut names = BTreeSet::new();
        for (n, class) in self.classes.iter().enumerate() {
            let error =
                |field: &str, what: String| Err(InvalidField { path: format!("classes[{n}].{field}"), what });
            let is_allowed = |c: char| c.is_ascii_graphic() && c != ',' && c != '=';
            if class.name.is_empty() || !class.name.chars().all(is_allowed) {
                return error(
                    "name",
                    format!("letters without spaces, commas or = expected, got {:?}", class.name),
                );
            }
            if !names.insert(&class.name) {
                return error("name", format!("a unique name expected, got {} again", class.name));
            }
            if class.aim > class.deadline || class.aim.is_zero() {
                return error("aim", format!("above 0 and up to the deadline {} expected", class.deadline));
            }
            if class.effect == Effect::Guarded && class.window.is_zero() {
                return error(
                    "window",
                    "a time for which repeats are dropped expected, as it is guarded".into(),
                );
            }
        }
        if self.classes.iter().map(|c| c.share.low).sum::<f64>() <= 0.0 {
            return Err(InvalidField {
                path: "classes[0].share".into(),
                what: "a share above 0 expected".into(),
            });
        }
        Ok(())
    }

    /// Smallest number of boxes that run at the start of any run.
    fn min_boxes(&self) -> u32 {
        self.boxes.iter().map(|b| b.count.low).sum()
    }

    fn check_incident(
        &self,
        incident: &IncidentFile,
        drained: &mut u32,
    ) -> Result<(), (&'static str, String)> {
        check_fields(incident)?;
        self.check_times_and_ranges(incident)?;
        self.check_depots(incident)?;
        self.check_targets(incident, drained)?;
        match &incident.class {
            Some(class) if !self.classes.iter().any(|c| c.name == *class) => {
                Err(("class", format!("the name of a class expected, got {class:?}")))
            }
            _ => Ok(()),
        }
    }

    fn check_times_and_ranges(&self, incident: &IncidentFile) -> Result<(), (&'static str, String)> {
        if incident.at.high >= self.length.low {
            return Err((
                "at",
                format!(
                    "before the end of the run at {} expected, got {}",
                    self.length.low, incident.at.high
                ),
            ));
        }
        if incident.factor.is_some_and(|f| f.low.is_nan() || f.low <= 0.0) {
            return Err(("factor", "a number above 0 expected".into()));
        }
        for (field, share) in [("share", incident.share), ("part", incident.part)] {
            if let Some(share) = share.filter(|s| !(s.low >= 0.0 && s.high <= 1.0)) {
                let what = format!("shares from 0 to 1 expected, got {} to {}", share.low, share.high);
                return Err((field, what));
            }
        }
        if incident.steps == Some(0) {
            return Err(("steps", "at least 1 expected, got 0".into()));
        }
        if incident.rounds == Some(0) {
            return Err(("rounds", "at least 1 expected, got 0".into()));
        }
        if incident.steps.is_some() && incident.each.is_none() {
            return Err(("steps", "`each` expected beside it, the time between two groups".into()));
        }
        Ok(())
    }

    fn check_depots(&self, incident: &IncidentFile) -> Result<(), (&'static str, String)> {
        for depot in incident.depots.iter().flatten() {
            if !self.depots.contains(depot) {
                return Err(("depots", format!("names of depots expected, got {depot:?}")));
            }
        }
        if let Some(depot) = incident.depot.as_ref().filter(|d| *d != "any" && !self.depots.contains(d)) {
            return Err(("depot", format!("the name of a depot or \"any\" expected, got {depot:?}")));
        }
        if incident.kind == IncidentKind::CutOff && self.depots.len() < 2 {
            return Err(("depot", "a second depot expected, as there is nothing to be cut off from".into()));
        }
        Ok(())
    }

    /// Checks that no more boxes and nodes are affected than exist, and that no more boxes drain than run.
    fn check_targets(
        &self,
        incident: &IncidentFile,
        drained: &mut u32,
    ) -> Result<(), (&'static str, String)> {
        // Boxes and nodes are assigned to depots in turn, so the last depot has the fewest.
        let in_scope = |all: u32| if incident.depot.is_some() { all / self.depots.len() as u32 } else { all };
        let place = if incident.depot.is_some() { "in a depot" } else { "there" };
        let boxes = in_scope(self.min_boxes());
        let counted = (incident.kind != IncidentKind::Join).then_some(incident.boxes).flatten();
        for (field, many, all) in
            [("boxes", counted, boxes), ("nodes", incident.nodes, in_scope(self.nodes.count.low))]
        {
            if let Some(many) = many.filter(|many| many.high > all) {
                let what = format!("at most {all} expected, as many as there are, got {}", many.high);
                return Err((field, what));
            }
        }
        if incident.kind == IncidentKind::Drain {
            let part = |share: f64| (share * f64::from(boxes)).round().max(1.0) as u32;
            *drained += match (incident.boxes, incident.part) {
                (Some(many), _) => many.high,
                (None, Some(share)) => part(share.high),
                (None, None) => boxes,
            };
            let all = self.min_boxes();
            if *drained > all {
                let field = if incident.boxes.is_some() { "boxes" } else { "part" };
                return Err((field, format!("{drained} boxes drain by then, and there are only {all}")));
            }
        }
        let has_targets = incident.kind.targets_boxes() && incident.kind != IncidentKind::Join
            || incident.kind.targets_nodes();
        if has_targets && incident.depot.is_some() && boxes.min(in_scope(self.nodes.count.low)) == 0 {
            return Err(("depot", format!("one with boxes and nodes expected, and there are none {place}")));
        }
        Ok(())
    }
}
