//! Fault events of a run and planned operations such as restarts and drains.

use super::NodeId;
use crate::list::BoxId;
use crate::time::{Span, Time};

/// Clients with short timeouts and immediate retries. In a fleet short of capacity their tries make up most of the load
/// and almost none of them is served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HastyClients {
    /// Share of new requests whose clients behave this way.
    pub share: f64,
    /// Time that these clients wait for a try.
    pub try_timeout: Span,
    /// Number of retries, sent at once and without regard to retry-after times.
    pub retries: u32,
}

/// Clients that write commands slowly, in pieces. Their wait for the answer starts at the first byte.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowWriters {
    /// Share of tries that are written slowly.
    pub share: f64,
    /// Longest time from a command's first byte to its last.
    pub up_to: Span,
}

/// A fault or planned operation, with its targets.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultEvent {
    /// Machines stop responding, and come back with empty stores.
    Silent(Vec<BoxId>),
    /// Machines run slower by this factor.
    Slow(Vec<BoxId>, f64),
    /// Machines fail this share of their requests.
    Erring(Vec<BoxId>, f64),
    /// Processes are killed, and come back with empty stores.
    Kill(Vec<BoxId>),
    /// A share of a class's requests costs a multiple of the usual work.
    Heavy {
        /// Index of the class.
        class: usize,
        /// Share of the class's requests.
        share: f64,
        /// Multiple of the usual work.
        factor: f64,
    },
    /// Nodes are killed, and come back with their last endpoint list.
    NodeDeath(Vec<NodeId>),
    /// Nodes receive SIGTERM, finish their requests, and come back.
    NodeRestart(Vec<NodeId>),
    /// The endpoint list sends no changes.
    ListOutage,
    /// The planner is slower by this factor.
    PlannerSlow(f64),
    /// The planner doesn't answer.
    PlannerSilent,
    /// Nothing passes from the first depot of each pair to the second, except for the endpoint list.
    Partition(Vec<(usize, usize)>),
    /// Changes of the endpoint list reach the nodes of one depot, or of all, later.
    LateList {
        /// Index of the depot; `None` for all.
        depot: Option<usize>,
        /// Additional delay.
        by: Span,
    },
    /// This share of the boxes' answers never arrives.
    LostAnswers(f64),
    /// The connection of this share of requests is reset when the answer would be sent.
    Resets(f64),
    /// This share of the messages between nodes is lost.
    LostMessages(f64),
    /// The nodes of a depot receive a multiple of their requests.
    Shift {
        /// Index of the depot.
        depot: usize,
        /// Multiple of the usual rate.
        factor: f64,
    },
    /// Clients abandon tries early and retry sooner.
    Impatient {
        /// Share of tries that are abandoned early.
        share: f64,
        /// Factor by which the time before a retry is shortened.
        hurry: f64,
    },
    /// Clients have short timeouts and retry at once.
    Hasty(HastyClients),
    /// Clients write their commands slowly.
    SlowWriters(SlowWriters),
    /// Boxes drain, and stop when the fault event ends.
    Drain(Vec<BoxId>),
    /// Boxes start, and are listed from then on.
    Join(Vec<BoxId>),
    /// The request rate rises by a factor, and a share of all requests goes to a few keys.
    Burst {
        /// Multiple of the usual rate.
        factor: f64,
        /// Share of the requests that goes to the keys.
        share: f64,
        /// Number of keys, which are drawn when the burst begins.
        keys: u32,
    },
}

impl std::fmt::Display for FaultEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FaultEvent::Silent(boxes) => write!(f, "{} boxes go silent", boxes.len()),
            FaultEvent::Slow(boxes, factor) => {
                write!(f, "{} boxes are {factor:.1} times slower", boxes.len())
            }
            FaultEvent::Erring(boxes, share) => {
                write!(f, "{} boxes fail {:.0} % of the requests", boxes.len(), share * 100.0)
            }
            FaultEvent::Kill(boxes) => write!(f, "{} boxes are killed", boxes.len()),
            FaultEvent::Heavy { share, factor, .. } => {
                write!(f, "{:.2} % of a class cost {factor:.1} times the work", share * 100.0)
            }
            FaultEvent::NodeDeath(nodes) => write!(f, "{} nodes die", nodes.len()),
            FaultEvent::NodeRestart(nodes) => write!(f, "{} nodes restart", nodes.len()),
            FaultEvent::ListOutage => f.write_str("the list is silent"),
            FaultEvent::PlannerSlow(factor) => write!(f, "the planner is {factor:.1} times slower"),
            FaultEvent::PlannerSilent => f.write_str("the planner is silent"),
            FaultEvent::Partition(pairs) => write_partition(f, pairs),
            FaultEvent::LateList { depot: None, by } => write!(f, "the list is {by} late"),
            FaultEvent::LateList { depot: Some(depot), by } => {
                write!(f, "depot {depot} has the list {by} late")
            }
            FaultEvent::LostAnswers(share) => write!(f, "{:.1} % of the answers are lost", share * 100.0),
            FaultEvent::Resets(share) => write!(f, "{:.1} % of the requests are reset", share * 100.0),
            FaultEvent::LostMessages(share) => write!(f, "{:.0} % of the messages are lost", share * 100.0),
            FaultEvent::Shift { depot, factor } => {
                write!(f, "{factor:.1} times the requests at depot {depot}")
            }
            FaultEvent::Impatient { share, hurry } => {
                write!(
                    f,
                    "clients leave {:.0} % of their tries, and come again {hurry:.1} times sooner",
                    share * 100.0
                )
            }
            FaultEvent::Hasty(HastyClients { share, try_timeout, retries }) => {
                let share = share * 100.0;
                write!(
                    f,
                    "{share:.0} % of the clients give a try {try_timeout} and come again {retries} times"
                )
            }
            FaultEvent::SlowWriters(SlowWriters { share, up_to }) => {
                write!(f, "{:.0} % of the commands are written over up to {up_to}", share * 100.0)
            }
            FaultEvent::Drain(boxes) => write!(f, "{} boxes drain", boxes.len()),
            FaultEvent::Join(boxes) => write!(f, "{} boxes join", boxes.len()),
            FaultEvent::Burst { factor, keys, .. } => {
                write!(f, "{factor:.1} times the requests, on {keys} keys")
            }
        }
    }
}

fn write_partition(f: &mut std::fmt::Formatter<'_>, pairs: &[(usize, usize)]) -> std::fmt::Result {
    let in_all_pairs = |depot: usize| pairs.iter().all(|(from, to)| *from == depot || *to == depot);
    match *pairs {
        [(a, b)] => write!(f, "nothing passes from depot {a} to depot {b}"),
        [(a, b), (c, d)] if (a, b) == (d, c) => write!(f, "depots {a} and {b} are parted"),
        _ => match pairs.iter().flat_map(|(from, to)| [*from, *to]).find(|depot| in_all_pairs(*depot)) {
            Some(depot) if pairs.iter().all(|(from, _)| *from == depot) => {
                write!(f, "nothing comes out of depot {depot}")
            }
            Some(depot) => write!(f, "depot {depot} is cut off"),
            None => write!(f, "{} ways between depots are cut", pairs.len()),
        },
    }
}

/// A fault event and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Start of the fault event.
    pub at: Time,
    /// Duration of the fault event; zero if it has no end.
    pub lasts: Span,
    /// The fault event.
    pub incident: FaultEvent,
    /// Timing of a planned restart in which clients send until SIGKILL.
    pub stop: Option<StopTimings>,
}

/// Timing of the platform in a planned restart, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopTimings {
    /// Time for which new connections keep arriving.
    pub new_connections_time: Span,
    /// Time until SIGKILL.
    pub kill: Span,
}

/// Longer client deadlines count as this when the time of SIGKILL is set.
const MAX_COUNTED_DEADLINE: Span = Span::from_millis(3000);
/// Time from the longest deadline to SIGKILL.
const KILL_GRACE: Span = Span::from_millis(700);

impl StopTimings {
    /// Creates the timing for clients with this longest deadline, and new connections arriving for this time.
    pub fn new(longest: Span, coming: Span) -> Self {
        StopTimings { new_connections_time: coming, kill: longest.min(MAX_COUNTED_DEADLINE) + KILL_GRACE }
    }
}

/// Watches of the endpoint list that fall silent.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchSilence {
    /// Time at which the watches fall silent.
    pub at: Time,
    /// Nodes whose watches fall silent.
    pub nodes: Vec<NodeId>,
    /// Remaining wait of the silent long poll; `None` if its answer had begun or no call was in flight.
    pub waits: Option<Span>,
}
