//! What makes no sense in a scenario although it can be read.

use std::collections::BTreeSet;

use super::{s, IncidentFile, IncidentKind, Scenario, Wrong};
use crate::day::Effect;

impl Scenario {
    /// Finds what makes no sense although it can be read.
    ///
    /// # Errors
    /// Names the first such field.
    pub fn check(&self) -> Result<(), Wrong> {
        let wrong = |path: &str, what: String| Err(Wrong { path: path.into(), what });
        if self.version != 1 {
            return wrong("version", format!("1 expected, got {}", self.version));
        }
        if self.depots.is_empty() {
            return wrong("depots", "at least one expected, got none".into());
        }
        if self.length.low < s(1) {
            return wrong("length", format!("1s or more expected, got {}", self.length.low));
        }
        if self.nodes.count.low == 0 {
            return wrong("nodes.count", "at least 1 expected, got 0".into());
        }
        if self.keys.count.low == 0 {
            return wrong("keys.count", "at least 1 expected, got 0".into());
        }
        if self.planner.places.low == 0 {
            return wrong("planner.places", "at least 1 expected, got 0".into());
        }
        if self.least_boxes() == 0 {
            return wrong("boxes", "at least one box expected, got none".into());
        }
        if self.classes.is_empty() {
            return wrong("classes", "at least one expected, got none".into());
        }
        self.check_figures()?;
        self.check_classes()?;
        let mut drained = 0;
        for (n, incident) in self.incidents.iter().enumerate() {
            let what = self.check_incident(incident, &mut drained);
            what.map_err(|(field, what)| Wrong { path: format!("incidents[{n}].{field}"), what })?;
        }
        Ok(())
    }

    fn check_figures(&self) -> Result<(), Wrong> {
        let mut shares: Vec<(String, f64, f64)> = vec![
            ("clients.try_share".into(), self.clients.try_share.low, self.clients.try_share.high),
            ("clients.honours".into(), self.clients.honours.low, self.clients.honours.high),
            ("clients.abandons".into(), self.clients.abandons.low, self.clients.abandons.high),
            ("network.message_loss".into(), self.network.message_loss.low, self.network.message_loss.high),
            ("keys.drift".into(), self.keys.drift.low, self.keys.drift.high),
        ];
        let mut above: Vec<(String, f64)> = vec![("clients.rate".into(), self.clients.rate.low)];
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
                above.push((field(name), value));
            }
        }
        for (path, low, high) in shares {
            if !(low >= 0.0 && high <= 1.0) {
                return Err(Wrong {
                    path,
                    what: format!("shares from 0 to 1 expected, got {low} to {high}"),
                });
            }
        }
        for (path, value) in above {
            if !(value > 0.0 && value.is_finite()) {
                return Err(Wrong { path, what: format!("a number above 0 expected, got {value}") });
            }
        }
        Ok(())
    }

    fn check_classes(&self) -> Result<(), Wrong> {
        let mut names = BTreeSet::new();
        for (n, class) in self.classes.iter().enumerate() {
            let wrong =
                |field: &str, what: String| Err(Wrong { path: format!("classes[{n}].{field}"), what });
            let plain = |c: char| c.is_ascii_graphic() && c != ',' && c != '=';
            if class.name.is_empty() || !class.name.chars().all(plain) {
                return wrong(
                    "name",
                    format!("letters without spaces, commas or = expected, got {:?}", class.name),
                );
            }
            if !names.insert(&class.name) {
                return wrong("name", format!("a name of its own expected, {} has come before", class.name));
            }
            if class.aim > class.deadline || class.aim.is_zero() {
                return wrong("aim", format!("above 0 and up to the deadline {} expected", class.deadline));
            }
            if class.effect == Effect::Guarded && class.window.is_zero() {
                return wrong(
                    "window",
                    "a time for which repeats are dropped expected, as it is guarded".into(),
                );
            }
        }
        if self.classes.iter().map(|c| c.share.low).sum::<f64>() <= 0.0 {
            return Err(Wrong { path: "classes[0].share".into(), what: "a share above 0 expected".into() });
        }
        Ok(())
    }

    /// Boxes that run when any day of this scenario begins.
    fn least_boxes(&self) -> u32 {
        self.boxes.iter().map(|b| b.count.low).sum()
    }

    fn check_incident(&self, i: &IncidentFile, drained: &mut u32) -> Result<(), (&'static str, String)> {
        use IncidentKind as K;
        let boxes = matches!(i.kind, K::Silent | K::Slow | K::Drain | K::Join | K::Replace);
        let nodes = matches!(i.kind, K::NodeDeath | K::NodeRestart);
        let given = [
            ("boxes", i.boxes.is_some(), boxes),
            ("part", i.part.is_some(), boxes && i.kind != K::Join),
            ("nodes", i.nodes.is_some(), nodes),
            ("factor", i.factor.is_some(), matches!(i.kind, K::Slow | K::Heavy | K::PlannerSlow | K::Burst)),
            ("share", i.share.is_some(), matches!(i.kind, K::Heavy | K::Burst)),
            ("class", i.class.is_some(), i.kind == K::Heavy),
            ("depots", i.depots.is_some(), i.kind == K::Partition),
            ("keys", i.keys.is_some(), i.kind == K::Burst),
            ("each", i.each.is_some(), matches!(i.kind, K::NodeRestart | K::Replace)),
            ("same_address", i.same_address.is_some(), i.kind == K::Replace),
        ];
        for (field, is_there, belongs) in given {
            if is_there && !belongs {
                return Err((field, format!("does not belong to an incident of this kind, {:?}", i.kind)));
            }
        }
        for (field, is_there, needed) in [
            ("boxes", i.boxes.is_some() || i.part.is_some(), boxes),
            ("nodes", i.nodes.is_some(), nodes),
            ("factor", i.factor.is_some(), matches!(i.kind, K::Slow | K::Heavy | K::PlannerSlow | K::Burst)),
            ("share", i.share.is_some(), i.kind == K::Heavy),
            ("class", i.class.is_some(), i.kind == K::Heavy),
            ("depots", i.depots.is_some(), i.kind == K::Partition),
            ("lasts", i.lasts.is_some(), matches!(i.kind, K::Drain | K::Replace | K::Heavy)),
        ] {
            if needed && !is_there {
                return Err((field, format!("expected for an incident of this kind, {:?}", i.kind)));
            }
        }
        if i.at.high >= self.length.low {
            return Err((
                "at",
                format!("before the day's end at {} expected, got {}", self.length.low, i.at.high),
            ));
        }
        if i.factor.is_some_and(|f| f.low.is_nan() || f.low <= 0.0) {
            return Err(("factor", "a number above 0 expected".into()));
        }
        let all = self.least_boxes();
        if let Some(many) = i.boxes.filter(|many| i.kind != K::Join && many.high > all) {
            return Err((
                "boxes",
                format!("at most {all} expected, as many as there are, got {}", many.high),
            ));
        }
        if matches!(i.kind, K::Drain) {
            *drained += i.boxes.map_or_else(
                || (i.part.map_or(0.0, |part| part.high) * f64::from(all)).round().max(1.0) as u32,
                |many| many.high,
            );
            if *drained > all {
                let field = if i.boxes.is_some() { "boxes" } else { "part" };
                return Err((field, format!("{drained} boxes drain by then, and there are only {all}")));
            }
        }
        if let Some(many) = i.nodes.filter(|many| many.high > self.nodes.count.low) {
            let all = self.nodes.count.low;
            return Err((
                "nodes",
                format!("at most {all} expected, as many as there are, got {}", many.high),
            ));
        }
        if let Some(class) = &i.class {
            if !self.classes.iter().any(|c| c.name == *class) {
                return Err(("class", format!("the name of a class expected, got {class:?}")));
            }
        }
        for depot in i.depots.iter().flatten() {
            if !self.depots.contains(depot) {
                return Err(("depots", format!("names of depots expected, got {depot:?}")));
            }
        }
        Ok(())
    }
}
