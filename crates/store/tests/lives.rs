//! Model check of the choice of incarnations: no incarnation is used twice, and none is below one used before,
//! whatever is stored or lost, at whichever step a process ends, and wherever the wall clock steps within its limit.

use std::time::Duration;

use hallpin_membership::names::Incarnation;
use hallpin_store::incarnation::{Start, StoredIncarnation};
use stateright::{Checker, Model, Property};

/// How far the clock may step back in the model.
const MAX_STEP_BACK_MS: u64 = 2;
/// Length of the model's time.
const END_MS: u64 = 16;
/// Maximum number of processes that run one after another.
const MAX_PROCESSES: u8 = 4;
/// Wall time at the start of the model.
const START_WALL_MS: u64 = 100;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// The process runs and has not chosen an incarnation yet.
    Started,
    /// The process has chosen `start` at wall time `wall` and real time `at`; `to_write` if its row is still to be
    /// written.
    Chosen { start: Start, wall: u64, at: u64, to_write: bool },
    /// The process sends messages. `to_settle`: the stored row still says that its silence is not over.
    Active { start: Start, to_settle: bool },
    /// No process runs.
    Down,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    /// Real time in ms.
    now: u64,
    /// How far the wall clock is behind its greatest possible reading at `now`, in ms; at most `MAX_STEP_BACK_MS`.
    behind: u64,
    processes: u8,
    stage: Stage,
    /// The stored row.
    stored: StoredIncarnation,
    /// The greatest incarnation used.
    highest_used: Option<Incarnation>,
    /// Whether an incarnation was used that is not above all earlier ones.
    is_violated: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ModelEvent {
    TimePasses,
    ClockSteps {
        behind: u64,
    },
    ProcessStarts,
    /// The process chooses an incarnation, with a store or while none can be opened.
    ChoosesIncarnation {
        has_store: bool,
    },
    /// The process writes its row. If the write is not acknowledged, the row may or may not be in the file.
    WritesRow {
        acknowledged: bool,
        durable: bool,
    },
    SendsMessage,
    SettlesRow,
    ProcessEnds,
    /// The file is lost, or set aside as corrupt.
    LosesFile,
}

struct IncarnationModel {
    variant: Variant,
}

/// The algorithm, complete or with one part removed, which must make the check fail.
#[derive(Clone, Copy, PartialEq)]
enum Variant {
    Complete,
    NoSilence,
    NoClockLead,
    SettledAtOnce,
    SendsBeforeWriting,
}

impl IncarnationModel {
    fn step_back(&self) -> Duration {
        Duration::from_millis(MAX_STEP_BACK_MS)
    }

    fn unwritten(&self, past: StoredIncarnation, wall: u64) -> Start {
        let start = Start::unwritten(past, wall, self.step_back());
        match self.variant {
            Variant::NoSilence => Start { silence: Duration::ZERO, ..start },
            Variant::NoClockLead => {
                Start { silence: start.silence, ..Start::unwritten(past, wall, Duration::ZERO) }
            }
            _ => start,
        }
    }

    fn written(&self, past: StoredIncarnation, wall: u64) -> Start {
        match past {
            StoredIncarnation::Settled(_) => Start::written(past, wall, self.step_back()),
            _ => self.unwritten(past, wall),
        }
    }
}

impl Model for IncarnationModel {
    type State = Node;
    type Action = ModelEvent;

    fn init_states(&self) -> Vec<Node> {
        let (stage, stored) = (Stage::Down, StoredIncarnation::Unknown);
        vec![Node { now: 0, behind: 0, processes: 0, stage, stored, highest_used: None, is_violated: false }]
    }

    fn actions(&self, node: &Node, out: &mut Vec<ModelEvent>) {
        if node.now < END_MS {
            out.push(ModelEvent::TimePasses);
        }
        out.extend(
            (0..=MAX_STEP_BACK_MS)
                .filter(|behind| *behind != node.behind)
                .map(|behind| ModelEvent::ClockSteps { behind }),
        );
        if node.stored != StoredIncarnation::Unknown && node.stage == Stage::Down {
            out.push(ModelEvent::LosesFile);
        }
        match node.stage {
            Stage::Down if node.processes < MAX_PROCESSES => out.push(ModelEvent::ProcessStarts),
            Stage::Down => {}
            Stage::Started => {
                out.extend([true, false].map(|has_store| ModelEvent::ChoosesIncarnation { has_store }));
            }
            Stage::Chosen { start, at, to_write, .. } => {
                if to_write {
                    out.push(ModelEvent::WritesRow { acknowledged: true, durable: true });
                    out.extend(
                        [true, false].map(|durable| ModelEvent::WritesRow { acknowledged: false, durable }),
                    );
                }
                let silent = node.now < at + start.silence.as_millis() as u64;
                if !silent && (!to_write || self.variant == Variant::SendsBeforeWriting) {
                    out.push(ModelEvent::SendsMessage);
                }
            }
            Stage::Active { to_settle, .. } => out.extend(to_settle.then_some(ModelEvent::SettlesRow)),
        }
        if node.stage != Stage::Down {
            out.push(ModelEvent::ProcessEnds);
        }
    }

    fn next_state(&self, node: &Node, event: ModelEvent) -> Option<Node> {
        let mut node = node.clone();
        let wall = START_WALL_MS + node.now - node.behind;
        match (event, node.stage) {
            (ModelEvent::TimePasses, _) => node.now += 1,
            (ModelEvent::ClockSteps { behind }, _) => node.behind = behind,
            // Two processes start at least 1 ms apart.
            (ModelEvent::ProcessStarts, _) => {
                (node.stage, node.processes, node.now) = (Stage::Started, node.processes + 1, node.now + 1)
            }
            (ModelEvent::ChoosesIncarnation { has_store }, _) => {
                let start = if has_store {
                    self.written(node.stored, wall)
                } else {
                    self.unwritten(StoredIncarnation::Unknown, wall)
                };
                node.stage = Stage::Chosen { start, wall, at: node.now, to_write: has_store };
            }
            (ModelEvent::WritesRow { acknowledged, durable }, Stage::Chosen { start, wall, at, .. }) => {
                let past = node.stored;
                if durable {
                    let settled = start.is_settled() || self.variant == Variant::SettledAtOnce;
                    node.stored =
                        if settled { StoredIncarnation::Settled } else { StoredIncarnation::Unsettled }(
                            start.incarnation,
                        );
                }
                let start = if acknowledged { start } else { self.unwritten(past, wall) };
                node.stage = Stage::Chosen { start, wall, at, to_write: false };
            }
            (ModelEvent::SendsMessage, Stage::Chosen { start, .. }) => {
                node.is_violated |= node.highest_used >= Some(start.incarnation);
                node.highest_used = node.highest_used.max(Some(start.incarnation));
                node.stage = Stage::Active { start, to_settle: !start.is_settled() };
            }
            (ModelEvent::SettlesRow, Stage::Active { start, .. }) => {
                node.stored = StoredIncarnation::Settled(start.incarnation);
                node.stage = Stage::Active { start, to_settle: false };
            }
            (ModelEvent::ProcessEnds, _) => node.stage = Stage::Down,
            (ModelEvent::LosesFile, _) => node.stored = StoredIncarnation::Unknown,
            _ => return None,
        }
        Some(node)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("incarnations only increase", |_, node: &Node| !node.is_violated),
            Property::sometimes("the last process sends messages", |_, node: &Node| {
                node.processes == MAX_PROCESSES && matches!(node.stage, Stage::Active { .. })
            }),
        ]
    }
}

#[test]
fn no_incarnation_is_used_twice() {
    let checked = IncarnationModel { variant: Variant::Complete }.checker().threads(2).spawn_bfs().join();
    println!("{} states, {} of them unique", checked.state_count(), checked.unique_state_count());
    checked.assert_properties();
}

#[test]
fn each_part_of_the_algorithm_is_needed() {
    for (variant, name) in [
        (Variant::NoSilence, "no silence"),
        (Variant::NoClockLead, "no lead on the clock"),
        (Variant::SettledAtOnce, "settled at once"),
        (Variant::SendsBeforeWriting, "sends before writing"),
    ] {
        let checked = IncarnationModel { variant }.checker().spawn_bfs().join();
        let path = checked.discovery("incarnations only increase");
        let actions = path.unwrap_or_else(|| panic!("{name}: no violation found")).into_actions();
        println!("{name}: {actions:?}");
    }
}
