//! Network faults between machines: lost answers, reset connections, lost messages and late lists. Used for runs in
//! virtual time and for runs over sockets.

use crate::random::RandomStream;
use crate::run_spec::FaultEvent;
use crate::time::Span;

/// What happens to an answer on its way to its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFate {
    /// The answer arrives.
    Arrives,
    /// The answer is lost, and the connection stays open.
    Lost,
    /// The connection is reset instead.
    Reset,
}

/// The active network faults, with the index of the incident of each.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    active: Vec<(usize, FaultEvent)>,
}

impl NetworkFaults {
    /// Activates the fault of an incident; incidents of other kinds are ignored.
    pub fn begin(&mut self, index: usize, incident: &FaultEvent) {
        use FaultEvent as I;
        if matches!(incident, I::LostAnswers(_) | I::Resets(_) | I::LostMessages(_) | I::LateList { .. }) {
            self.active.push((index, incident.clone()));
        }
    }

    /// Deactivates the fault of an incident.
    pub fn end(&mut self, index: usize) {
        self.active.retain(|(i, _)| *i != index);
    }

    /// Draws what happens to one answer.
    pub fn answer_fate(&self, rng: &mut RandomStream) -> AnswerFate {
        for (_, incident) in &self.active {
            match incident {
                FaultEvent::LostAnswers(share) if rng.bernoulli(*share) => return AnswerFate::Lost,
                FaultEvent::Resets(share) if rng.bernoulli(*share) => return AnswerFate::Reset,
                _ => {}
            }
        }
        AnswerFate::Arrives
    }

    /// Draws whether one message between nodes is lost.
    pub fn loses_message(&self, rng: &mut RandomStream) -> bool {
        self.active.iter().any(|(_, i)| matches!(i, FaultEvent::LostMessages(share) if rng.bernoulli(*share)))
    }

    /// Extra delay of the list for the nodes of a depot: the longest of all active faults.
    pub fn list_delay(&self, node_depot: usize) -> Span {
        let late = |incident: &FaultEvent| match incident {
            FaultEvent::LateList { depot, by } if depot.is_none_or(|depot| depot == node_depot) => Some(*by),
            _ => None,
        };
        self.active.iter().filter_map(|(_, incident)| late(incident)).max().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_fault_affects_only_its_target_and_only_while_active() {
        let (mut faults, mut rng) = (NetworkFaults::default(), RandomStream::new(1, "faults"));
        let late = |depot, ms| FaultEvent::LateList { depot, by: Span::from_millis(ms) };
        faults.begin(0, &FaultEvent::Silent(vec![1]));
        assert_eq!(faults.answer_fate(&mut rng), AnswerFate::Arrives);
        faults.begin(1, &FaultEvent::LostAnswers(1.0));
        faults.begin(2, &FaultEvent::LostMessages(1.0));
        faults.begin(3, &late(Some(2), 700));
        faults.begin(4, &late(None, 300));
        assert_eq!(faults.answer_fate(&mut rng), AnswerFate::Lost);
        assert!(faults.loses_message(&mut rng));
        assert_eq!([faults.list_delay(2), faults.list_delay(0)], [700, 300].map(Span::from_millis));
        faults.end(1);
        faults.begin(5, &FaultEvent::Resets(1.0));
        assert_eq!(faults.answer_fate(&mut rng), AnswerFate::Reset);
        (2..=5).for_each(|index| faults.end(index));
        assert_eq!(
            (faults.answer_fate(&mut rng), faults.loses_message(&mut rng)),
            (AnswerFate::Arrives, false)
        );
        assert_eq!(faults.list_delay(2), Span::ZERO);
    }
}
