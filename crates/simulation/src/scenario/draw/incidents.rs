//! Draws fault events: their targets, their times, and the groups that are affected one after another.

use super::super::{s, BoxKind, ClassFile, IncidentFile, IncidentKind, Scenario};
use super::boxes::KindValues;
use crate::cache_box::BoxSpec;
use crate::random::RandomStream;
use crate::range::Range;
use crate::run_spec::{FaultEvent, HastyClients, ScheduledFault, SlowWriters, StopTimings, WatchSilence};
use crate::time::{Span, Time};

/// Range of the time after SIGTERM in which new connections keep arriving.
const NEW_CONNECTIONS_TIME: (Span, Span) = (Span::from_millis(200), Span::from_millis(400));

/// Values of a run that are known before its fault events are drawn, and the fault events drawn so far.
pub(super) struct DrawnRun {
    pub length: Span,
    pub nodes: usize,
    /// Number of boxes that run at the start; these are the first ones of `boxes`.
    pub running: usize,
    pub boxes: Vec<BoxSpec>,
    pub incidents: Vec<ScheduledFault>,
    pub silences: Vec<WatchSilence>,
}

/// Draws targets from the candidates: a number of them, else a share of them, else all of them if a depot is given.
fn draw_targets(
    many: Option<Range<u32>>,
    part: Option<Range<f64>>,
    depot: Option<usize>,
    of: &[usize],
    rng: &mut RandomStream,
) -> Vec<usize> {
    let by_part = part.map(|part| (part.draw(rng) * of.len() as f64).round().max(1.0) as usize);
    let many = match (many, by_part) {
        (Some(many), _) => many.draw(rng) as usize,
        (None, Some(many)) => many,
        (None, None) if depot.is_some() => of.len(),
        (None, None) => 0,
    };
    rng.sample_indices(many, of.len()).into_iter().map(|n| of[n]).collect()
}

/// Splits targets into groups, each with its delay after the first group.
fn split_into_groups(targets: Vec<usize>, each: Option<Span>, steps: Option<u32>) -> Vec<(Span, Vec<usize>)> {
    let Some(each) = each else { return vec![(Span::ZERO, targets)] };
    let size = steps.map_or(1, |steps| targets.len().div_ceil(steps.max(1) as usize)).max(1);
    targets.chunks(size).enumerate().map(|(n, group)| (each * n as f64, group.to_vec())).collect()
}

impl Scenario {
    pub(super) fn draw_incident(&self, file: &IncidentFile, run: &mut DrawnRun, rng: &mut RandomStream) {
        let happens = rng.uniform() < file.chance.unwrap_or(1.0);
        let at = Time::ZERO + file.at.draw(rng);
        let lasts = file.lasts.map(|lasts| lasts.draw(rng));
        let depot = file.depot.as_ref().map(|name| self.draw_depot(name, rng));
        let in_depot = |n: &usize| depot.is_none_or(|d| run.boxes[*n].depot == d);
        let candidate_boxes: Vec<usize> = (0..run.running).filter(in_depot).collect();
        let target_boxes = match file.kind {
            IncidentKind::Join => Vec::new(),
            kind if kind.targets_boxes() => draw_targets(file.boxes, file.part, depot, &candidate_boxes, rng),
            _ => Vec::new(),
        };
        let candidate_nodes: Vec<usize> =
            (0..run.nodes).filter(|n| depot.is_none_or(|d| n % self.depots.len() == d)).collect();
        let target_nodes = match file.kind.targets_nodes() {
            true => draw_targets(file.nodes, file.part, depot, &candidate_nodes, rng),
            false => Vec::new(),
        };
        let factor = file.factor.map_or(1.0, |factor| factor.draw(rng));
        let share = file.share.map_or(0.0, |share| share.draw(rng));
        let keys = file.keys.map_or(0, |keys| keys.draw(rng));
        if !happens {
            return;
        }
        let duration = lasts.unwrap_or(run.length + s(3600));
        // Drawn last and only if configured, so that runs without it keep their random sequence.
        let stop = file.kill.unwrap_or(false).then(|| {
            let longest = self.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
            StopTimings::new(
                longest,
                Range { low: NEW_CONNECTIONS_TIME.0, high: NEW_CONNECTIONS_TIME.1 }.draw(rng),
            )
        });
        let mut add = |at, lasts, incident| {
            run.incidents.push(ScheduledFault { at, lasts, incident, stop });
        };
        let split_into_groups = |targets: Vec<usize>| split_into_groups(targets, file.each, file.steps);
        match file.kind {
            IncidentKind::Silent => add(at, duration, FaultEvent::Silent(target_boxes)),
            IncidentKind::Slow => add(at, duration, FaultEvent::Slow(target_boxes, factor)),
            IncidentKind::Erring => add(at, duration, FaultEvent::Erring(target_boxes, share)),
            IncidentKind::Kill => {
                for (after, group) in split_into_groups(target_boxes) {
                    add(at + after, duration, FaultEvent::Kill(group));
                }
            }
            IncidentKind::Heavy => {
                let named = |class: &ClassFile| Some(&class.name) == file.class.as_ref();
                let class = self.classes.iter().position(named).unwrap_or(0);
                add(at, duration, FaultEvent::Heavy { class, share, factor });
            }
            IncidentKind::NodeDeath => {
                for (after, group) in split_into_groups(target_nodes) {
                    add(at + after, duration, FaultEvent::NodeDeath(group));
                }
            }
            IncidentKind::NodeRestart => {
                for (after, group) in split_into_groups(target_nodes) {
                    add(at + after, duration, FaultEvent::NodeRestart(group));
                }
            }
            IncidentKind::SilentWatch => {
                let waits = file.by.map(|by| by.draw(rng));
                run.silences.push(WatchSilence { at, nodes: target_nodes, waits });
            }
            IncidentKind::ListOutage => add(at, duration, FaultEvent::ListOutage),
            IncidentKind::LateList => {
                let by = file.by.map_or(Span::ZERO, |by| by.draw(rng));
                add(at, duration, FaultEvent::LateList { depot, by });
            }
            IncidentKind::PlannerSlow => add(at, duration, FaultEvent::PlannerSlow(factor)),
            IncidentKind::PlannerSilent => add(at, duration, FaultEvent::PlannerSilent),
            IncidentKind::LostAnswers => add(at, duration, FaultEvent::LostAnswers(share)),
            IncidentKind::Resets => add(at, duration, FaultEvent::Resets(share)),
            IncidentKind::LostMessages => add(at, duration, FaultEvent::LostMessages(share)),
            IncidentKind::Shift => {
                add(at, duration, FaultEvent::Shift { depot: depot.unwrap_or(0), factor });
            }
            IncidentKind::Impatient => add(at, duration, FaultEvent::Impatient { share, hurry: factor }),
            IncidentKind::Hasty => {
                let gives = file.by.map_or(Span::ZERO, |by| by.draw(rng));
                add(
                    at,
                    duration,
                    FaultEvent::Hasty(HastyClients {
                        share,
                        try_timeout: gives,
                        retries: file.rounds.unwrap_or(8),
                    }),
                );
            }
            IncidentKind::SlowWriters => {
                let up_to = file.by.map_or(Span::ZERO, |by| by.draw(rng));
                add(at, duration, FaultEvent::SlowWriters(SlowWriters { share, up_to }));
            }
            IncidentKind::Partition | IncidentKind::CutOff => {
                add(at, duration, FaultEvent::Partition(self.cut_links(file, depot)));
            }
            IncidentKind::Drain => add(at, duration, FaultEvent::Drain(target_boxes)),
            IncidentKind::Join => {
                let many = file.boxes.map_or(0, |many| many.draw(rng));
                let joining = (0..many).map(|_| self.add_box(&mut run.boxes, None, rng)).collect();
                add(at, Span::ZERO, FaultEvent::Join(joining));
            }
            IncidentKind::Replace => {
                let (mut targets, mut begins) = (target_boxes, at);
                for _ in 0..file.rounds.unwrap_or(1) {
                    let mut new_boxes = Vec::new();
                    let groups = split_into_groups(targets);
                    let last = groups.last().map_or(Span::ZERO, |(after, _)| *after);
                    for (after, group) in groups {
                        let replacing = |old: &usize| self.add_replacement(file, *old, &mut run.boxes, rng);
                        let joining: Vec<usize> = group.iter().map(replacing).collect();
                        new_boxes.extend(&joining);
                        add(begins + after, duration, FaultEvent::Drain(group));
                        add(begins + after + duration, Span::ZERO, FaultEvent::Join(joining));
                    }
                    // The next round starts once the last replacement has joined.
                    (targets, begins) =
                        (new_boxes, begins + last + duration.max(file.each.unwrap_or_default()) + Span(1));
                }
            }
            IncidentKind::Burst => add(at, duration, FaultEvent::Burst { factor, share, keys }),
        }
    }

    /// Returns the index of the named depot, or of a random one if no depot has this name.
    fn draw_depot(&self, name: &str, rng: &mut RandomStream) -> usize {
        let any = |rng: &mut RandomStream| rng.below(self.depots.len() as u64) as usize;
        self.depots.iter().position(|d| d == name).unwrap_or_else(|| any(rng))
    }

    /// Returns the links between depots that are cut, each from the first depot of a pair to the second.
    fn cut_links(&self, file: &IncidentFile, depot: Option<usize>) -> Vec<(usize, usize)> {
        let named = |name: &String| self.depots.iter().position(|d| d == name).unwrap_or(0);
        let out: Vec<(usize, usize)> = match (&file.depots, depot) {
            (Some([a, b]), _) => vec![(named(a), named(b))],
            (None, Some(from)) => {
                (0..self.depots.len()).filter(|to| *to != from).map(|to| (from, to)).collect()
            }
            (None, None) => Vec::new(),
        };
        let back = out.iter().map(|(from, to)| (*to, *from)).filter(|_| file.one_way != Some(true));
        out.iter().copied().chain(back).collect()
    }

    /// Adds the box that replaces an old one, and returns its index.
    fn add_replacement(
        &self,
        file: &IncidentFile,
        old: usize,
        boxes: &mut Vec<BoxSpec>,
        rng: &mut RandomStream,
    ) -> usize {
        let address = file.same_address.unwrap_or(false).then(|| boxes[old].address);
        let new = self.add_box(boxes, Some(old), rng);
        // With `same_address` it takes over the address of the old box.
        boxes[new].address = address.unwrap_or(boxes[new].address);
        new
    }

    /// Adds a box of the same kind as the one that it replaces, or of the first kind, and returns its index.
    fn add_box(&self, boxes: &mut Vec<BoxSpec>, like: Option<usize>, rng: &mut RandomStream) -> usize {
        let named = |kind: &&BoxKind| like.is_some_and(|old| kind.kind == boxes[old].kind);
        let kind = self.boxes.iter().find(named).unwrap_or(&self.boxes[0]);
        let kind_values = KindValues::draw(kind, rng);
        let index = boxes.len();
        let spec = self.draw_box(kind, &kind_values, index, rng);
        boxes.push(spec);
        index
    }
}
