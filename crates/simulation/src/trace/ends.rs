//! Outcomes of tries and attempts, as traces name them.

use serde::{Deserialize, Serialize};

/// Final answer of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TryOutcome {
    /// Served.
    Completed,
    /// Rejected; a retry is safe.
    Rejected,
    /// Answered with a failure; the request may have run.
    Failed,
}

/// Outcome of an attempt as seen at the box's end of the connection: its answer, a close before an answer, or no answer
/// at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
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

impl From<hallpin_balancer::Status> for AttemptOutcome {
    /// Converts a node's status of an attempt to the outcome in a trace.
    fn from(status: hallpin_balancer::Status) -> Self {
        use hallpin_balancer::Status;
        match status {
            Status::Success => AttemptOutcome::Success,
            Status::Overloaded => AttemptOutcome::Overloaded,
            Status::TimedOut => AttemptOutcome::TimedOut,
            Status::Unreachable => AttemptOutcome::Unreachable,
            Status::Broken => AttemptOutcome::Broken,
            Status::Cancelled => AttemptOutcome::Cancelled,
            Status::Void | Status::Absent => AttemptOutcome::Void,
            Status::Error | Status::Unknown => AttemptOutcome::Error,
        }
    }
}

impl AttemptOutcome {
    /// False if the outcome proves that the attempt never ran.
    pub fn may_have_run(self) -> bool {
        !matches!(self, AttemptOutcome::Overloaded | AttemptOutcome::Unreachable | AttemptOutcome::Void)
    }
}
