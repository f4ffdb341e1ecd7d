//! Sections of a scenario file for the fleet: nodes, the planner, the endpoint list and the network.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{ms, s};
use crate::range::Range;
use crate::time::Span;

/// The nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Nodes {
    /// Number of nodes.
    pub count: Range<u32>,
    /// Standard deviation of the nodes' weights in the traffic, as a share of the mean.
    pub unlike: Range<f64>,
    /// Time after SIGTERM for which a node serves open client connections; later requests are rejected.
    #[serde(skip_serializing_if = "is_parting")]
    pub parting: Span,
    /// Time after which a silent watch of the endpoint list is reopened.
    #[serde(skip_serializing_if = "is_reopening")]
    pub reopens: Span,
}

/// Same as in the node: a request that is accepted has its full deadline and 0.1 s more before SIGKILL.
const PARTING: Span = ms(600);
/// Same as in the node: the time of two failed calls.
const REOPENS: Span = ms(800);

// Default values are not serialised, so that histories without these fields stay identical byte for byte.
fn is_parting(parting: &Span) -> bool {
    *parting == PARTING
}

fn is_reopening(reopens: &Span) -> bool {
    *reopens == REOPENS
}

impl Default for Nodes {
    fn default() -> Self {
        Nodes { count: Range::of(3, 5), unlike: Range::of(0.9, 1.8), parting: PARTING, reopens: REOPENS }
    }
}

/// The planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PlannerFile {
    /// Fetches in service at once.
    pub places: Range<u32>,
    /// Mean time of a fetch.
    pub time: Range<Span>,
    /// Standard deviation of a fetch's time, as a share of the mean.
    pub cv: Range<f64>,
    /// Work of a write, as a multiple of a fetch's work.
    pub write_times: Range<f64>,
    /// Longest queueing time; calls that would wait longer fail at once.
    pub queue: Range<Span>,
    /// Share by which work grows for each waiting call per place.
    pub thrash: Range<f64>,
    /// Multiple of its capacity above which the planner stops; 0 for no limit.
    pub fall_multiple: f64,
    /// Window over which the load is averaged for `fall_multiple`.
    pub fall_for: Span,
    /// Duration of a stop.
    pub down_for: Range<Span>,
    /// Maximum number of stops in a run.
    pub stops: u32,
}

impl Default for PlannerFile {
    fn default() -> Self {
        PlannerFile {
            places: Range::of(20, 28),
            time: Range::of(ms(120), ms(170)),
            cv: Range::of(0.3, 0.9),
            write_times: Range::of(1.0, 2.0),
            queue: Range::of(ms(300), ms(3800)),
            thrash: Range::of(0.0, 0.1),
            fall_multiple: 2.5,
            fall_for: s(3),
            down_for: Range::of(s(3), s(8)),
            stops: 2,
        }
    }
}

/// Delays with which the endpoint list detects changes and notifies nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ListFile {
    /// Time until a started process is listed.
    pub add: Range<Span>,
    /// Time until a draining or ended process is detected.
    pub notice: Range<Span>,
    /// Time until a machine that has stopped responding is detected.
    pub silent_notice: Range<Span>,
    /// Longest time between the first and the last node's notification of a change.
    pub spread: Range<Span>,
}

impl Default for ListFile {
    fn default() -> Self {
        ListFile {
            add: Range::of(ms(420), ms(2200)),
            notice: Range::of(ms(900), ms(3300)),
            silent_notice: Range::of(ms(7400), s(12)),
            spread: Range::of(ms(180), ms(1300)),
        }
    }
}

/// The network.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct NetworkFile {
    /// One-way delay within a depot.
    pub same: Range<Span>,
    /// One-way delay between depots.
    pub cross: Range<Span>,
    /// One-way delay between a client and its node.
    pub client: Range<Span>,
    /// Standard deviation of each delay, as a share of it.
    pub jitter: Range<f64>,
    /// Number of round trips to open a connection.
    pub handshake_rtts: Range<f64>,
    /// One-way delay of a message between nodes.
    pub message: Range<Span>,
    /// Share of messages between nodes that are lost.
    pub message_loss: Range<f64>,
}

impl Default for NetworkFile {
    fn default() -> Self {
        NetworkFile {
            same: Range::of(Span(90), Span(270)),
            cross: Range::of(Span(2800), Span(5200)),
            client: Range::of(Span(50), Span(90)),
            jitter: Range::of(0.1, 0.25),
            handshake_rtts: Range::of(2.0, 3.0),
            message: Range::of(Span(1600), ms(15)),
            message_loss: Range::of(0.0, 0.01),
        }
    }
}
