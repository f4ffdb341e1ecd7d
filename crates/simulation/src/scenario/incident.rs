//! Section of a scenario file for fault events and planned operations.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::range::Range;
use crate::time::Span;

/// Kind of a fault event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum IncidentKind {
    /// Machines stop responding, and come back with empty stores.
    Silent,
    /// Machines are slower by `factor`.
    Slow,
    /// Machines fail `share` of their requests.
    Erring,
    /// Processes of boxes are killed, and come back with empty stores; with `each`, in steps.
    Kill,
    /// `share` of the requests of `class` costs `factor` times the work.
    Heavy,
    /// Nodes are killed, and come back with their last endpoint list; with `each`, in steps.
    NodeDeath,
    /// Nodes receive SIGTERM, finish their requests and come back; with `each`, in steps. With `kill`, clients send on
    /// every connection that stays open until SIGKILL ends the processes that have not exited by themselves.
    NodeRestart,
    /// The nodes' watches of the endpoint list fall silent once; `by` is the remaining wait of the silent long poll.
    SilentWatch,
    /// The endpoint list sends no changes.
    ListOutage,
    /// The planner is slower by `factor`.
    PlannerSlow,
    /// The planner doesn't answer.
    PlannerSilent,
    /// Nothing passes between the two `depots`; with `one_way`, from the first to the second.
    Partition,
    /// Nothing passes between `depot` and the others; with `one_way`, only traffic from `depot` is cut.
    CutOff,
    /// Changes of the endpoint list reach the nodes of `depot`, or all nodes, later by `by`.
    LateList,
    /// `share` of the boxes' answers never arrives.
    LostAnswers,
    /// The connection of `share` of the requests is reset when the answer would be sent.
    Resets,
    /// `share` of the messages between nodes is lost.
    LostMessages,
    /// The nodes of `depot` receive `factor` times their requests.
    Shift,
    /// Clients abandon `share` of their tries early, and retry `factor` times sooner.
    Impatient,
    /// `share` of the clients wait at most `by` for each try and retry at once, without regard to retry-after times,
    /// up to `rounds` times, 8 if not set, and within the request's deadline.
    Hasty,
    /// `share` of the commands are written in pieces, with up to `by` from the first byte to the last.
    SlowWriters,
    /// Boxes drain, and stop when the fault event ends.
    Drain,
    /// New, cold boxes of the first kind join.
    Join,
    /// Boxes drain and are replaced by new, cold ones when they stop; with `each`, in steps; with `rounds`, repeatedly.
    Replace,
    /// The request rate rises by `factor`, and `share` of the requests goes to `keys` keys.
    Burst,
}

impl IncidentKind {
    /// Whether the kind has boxes as targets.
    pub(crate) fn targets_boxes(self) -> bool {
        use IncidentKind as K;
        matches!(self, K::Silent | K::Slow | K::Erring | K::Kill | K::Drain | K::Join | K::Replace)
    }

    /// Whether the kind has nodes as targets.
    pub(crate) fn targets_nodes(self) -> bool {
        use IncidentKind as K;
        matches!(self, K::NodeDeath | K::NodeRestart | K::SilentWatch)
    }
}

/// A fault event or planned operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct IncidentFile {
    /// Kind of the fault event.
    pub kind: IncidentKind,
    /// Start, since the start of the run.
    pub at: Range<Span>,
    /// Duration; if not set, until the end of the run.
    pub lasts: Option<Range<Span>>,
    /// Probability that the fault event happens; if not set, 1.
    pub chance: Option<f64>,
    /// Number of boxes affected.
    pub boxes: Option<Range<u32>>,
    /// Share of the boxes or nodes affected, at least one.
    pub part: Option<Range<f64>>,
    /// Number of nodes affected.
    pub nodes: Option<Range<u32>>,
    /// Factor by which something is slower, heavier or more frequent.
    pub factor: Option<Range<f64>>,
    /// Share of the requests, answers, messages, tries or clients affected.
    pub share: Option<Range<f64>>,
    /// Name of the class affected.
    pub class: Option<String>,
    /// Name of a depot, or "any" for a random one. Only boxes or nodes of the depot are affected: all of them if no
    /// number is set.
    pub depot: Option<String>,
    /// Delay or time limit, depending on the kind.
    pub by: Option<Range<Span>>,
    /// Whether only one direction is cut.
    pub one_way: Option<bool>,
    /// Names of two depots.
    pub depots: Option<[String; 2]>,
    /// Number of keys.
    pub keys: Option<Range<u32>>,
    /// Time between targets, which are then affected one after another and not all at once.
    pub each: Option<Span>,
    /// Number of groups, `each` apart, in which the targets are affected instead of one by one.
    pub steps: Option<u32>,
    /// Number of repetitions: rounds of replacing the replacements, or retries of hasty clients.
    pub rounds: Option<u32>,
    /// Whether replacements take the addresses of the boxes that they replace.
    pub same_address: Option<bool>,
    /// Whether SIGKILL follows SIGTERM, after the longest deadline (counted as 3 s at most) plus 0.7 s.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kill: Option<bool>,
}
