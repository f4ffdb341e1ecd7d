//! Outcomes of tries and attempts, as traces name them.

use serde::{Deserialize, Serialize};

/// Final answer of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    /// Served.
    Completed,
    /// Rejected; a retry is safe.
    Rejected,
    /// Failed.
    Failed,
}

/// Outcome of an attempt as seen at the box's end of the connection: its answer, a close before an answer, or no answer
/// at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ended {
    /// Served.
    Success,
    /// The box answered with an error; the request may have run.
    Error,
    /// Rejected by the box as overloaded, without being run.
    Overloaded,
    /// No answer in time.
    TimedOut,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke.
    Broken,
    /// Cancelled by the node.
    Cancelled,
    /// Never sent.
    Void,
}

impl From<hallpin_balancer::Status> for Ended {
    /// Converts a node's status of an attempt to the outcome in a trace.
    fn from(status: hallpin_balancer::Status) -> Self {
        use hallpin_balancer::Status;
        match status {
            Status::Success => Ended::Success,
            Status::Overloaded => Ended::Overloaded,
            Status::TimedOut => Ended::TimedOut,
            Status::Unreachable => Ended::Unreachable,
            Status::Broken => Ended::Broken,
            Status::Cancelled => Ended::Cancelled,
            Status::Void | Status::Absent => Ended::Void,
            Status::Error | Status::Unknown => Ended::Error,
        }
    }
}

impl Ended {
    /// False if the outcome proves that the attempt never ran.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Ended::Overloaded | Ended::Unreachable | Ended::Void)
    }
}
