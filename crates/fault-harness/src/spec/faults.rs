//! Fault events of a scenario: what is injected, and when.

use hallpin_simulation::time::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use toml::Spanned;

use crate::relay::{Conditions, Site};

/// One fault, or the repair of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When the action is performed.
    pub when: When,
    /// The action to perform.
    #[serde(rename = "do")]
    #[schemars(with = "Action")]
    pub action: Action,
}

/// The trigger of a fault. Faults are injected in order: each waits for those before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum When {
    /// This long after the load started.
    At(Span),
    /// This long after the previous fault was injected.
    Later(Span),
    /// Once a box has received this many commands since the load started.
    Attempts {
        /// The box.
        #[schemars(with = "String")]
        of: Spanned<Site>,
        /// Number of commands.
        count: u64,
    },
    /// Once a node was notified of this revision of the endpoint list, or of a later one.
    Told {
        /// The node.
        #[schemars(with = "String")]
        node: Spanned<Site>,
        /// The revision.
        revision: u64,
    },
    /// Once these nodes accept clients.
    #[schemars(with = "Vec<String>")]
    Ready(Vec<Spanned<Site>>),
    /// Once these nodes' processes have ended.
    #[schemars(with = "Vec<String>")]
    Ended(Vec<Spanned<Site>>),
    /// Once a node has sent this many datagrams since the previous fault.
    Datagrams {
        /// The node.
        #[schemars(with = "String")]
        from: Spanned<Site>,
        /// Number of datagrams.
        count: u64,
    },
}

/// What happens to a node's state folder between two process generations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
#[schemars(rename = "State")]
pub enum StateFolderChange {
    /// It stays as the process left it.
    #[default]
    Kept,
    /// Its contents are deleted.
    Lost,
    /// The last half of each file is cut off.
    Torn,
    /// Each node gets the folder of the next one listed, and the last one that of the first.
    Swapped,
}

/// The action of a fault. Nodes are `n0`, `n1`, ..., boxes `b0`, `b1`, ...
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
#[schemars(rename = "Doing")]
pub enum Action {
    /// Sends SIGKILL to all nodes at once.
    #[schemars(with = "Vec<String>")]
    Kill(Vec<Spanned<Site>>),
    /// Sends SIGTERM, and SIGKILL once the stop timeout has expired.
    #[schemars(with = "Vec<String>")]
    Stop(Vec<Spanned<Site>>),
    /// Starts nodes that have ended, at their previous addresses.
    Start {
        /// The nodes.
        #[schemars(with = "Vec<String>")]
        nodes: Vec<Spanned<Site>>,
        /// What happens to their state folders.
        #[serde(default)]
        state: StateFolderChange,
    },
    /// Sends SIGSTOP.
    #[schemars(with = "Vec<String>")]
    Pause(Vec<Spanned<Site>>),
    /// Sends SIGCONT.
    #[schemars(with = "Vec<String>")]
    Resume(Vec<Spanned<Site>>),
    /// Cuts all links between the two sides, in both directions.
    Part(Ends),
    /// Cuts all links from the first side to the second; the opposite direction stays open.
    Cut(Ends),
    /// Resets all links to their initial conditions.
    Heal,
    /// Sets the conditions of one direction of links from now on.
    Link {
        /// Senders.
        #[schemars(with = "Vec<String>")]
        from: Vec<Spanned<Site>>,
        /// Receivers.
        #[schemars(with = "Vec<String>")]
        to: Vec<Spanned<Site>>,
        /// The conditions.
        #[schemars(with = "std::collections::BTreeMap<String, f64>")]
        conditions: Conditions,
    },
    /// Resets all connections between the two sides.
    Reset(Ends),
    /// Starts boxes' processes with empty stores, and lists the boxes as ready with their start time.
    #[schemars(with = "Vec<String>")]
    BoxUp(Vec<Spanned<Site>>),
    /// Adds long-running boxes to the endpoint list: they are started as if before the run, and so count as warm.
    #[schemars(with = "Vec<String>")]
    Join(Vec<Spanned<Site>>),
    /// Ends boxes' processes, and lists the boxes as gone.
    #[schemars(with = "Vec<String>")]
    BoxDown(Vec<Spanned<Site>>),
    /// Lists boxes as draining. Their processes go on.
    #[schemars(with = "Vec<String>")]
    Drain(Vec<Spanned<Site>>),
    /// Whether discovery's agents are silent: they answer nothing while it is true.
    Silence(bool),
    /// Multiplies a tenant's initial request rate; a factor of 1 restores it.
    Rate {
        /// The tenant.
        #[schemars(with = "String")]
        tenant: Spanned<String>,
        /// Multiplier of the initial rate.
        factor: f64,
    },
    /// Sends malformed datagrams to a node for a while.
    Garbage {
        /// The node.
        #[schemars(with = "String")]
        to: Spanned<Site>,
        /// Datagrams per second.
        rate: u32,
        /// How long the datagrams are sent.
        lasts: Span,
    },
}

/// The two sides of links that an action applies to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Ends {
    /// The first side; the sending one if the action has a direction.
    #[schemars(with = "Vec<String>")]
    pub from: Vec<Spanned<Site>>,
    /// The second side; the receiving one if the action has a direction.
    #[schemars(with = "Vec<String>")]
    pub to: Vec<Spanned<Site>>,
}
