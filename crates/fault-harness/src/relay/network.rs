//! All links by their ends, and the current conditions of each direction.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use hallpin_simulation::chance::Chance;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::Conditions;

/// An end of a link, by its index in the scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Site {
    /// A node's host: `n0`, `n1`, ...
    Node(usize),
    /// A box's host: `b0`, `b1`, ...
    Box(usize),
    /// The discovery agent on a node's own host: `list`.
    List,
}

impl fmt::Display for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Site::Node(n) => write!(f, "n{n}"),
            Site::Box(b) => write!(f, "b{b}"),
            Site::List => f.write_str("list"),
        }
    }
}

impl From<Site> for String {
    fn from(site: Site) -> Self {
        site.to_string()
    }
}

impl TryFrom<String> for Site {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl FromStr for Site {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let index = |rest: &str| rest.parse::<u16>().ok().map(usize::from);
        let site = match text.split_at_checked(1) {
            _ if text == "list" => Some(Site::List),
            Some(("n", rest)) => index(rest).map(Site::Node),
            Some(("b", rest)) => index(rest).map(Site::Box),
            _ => None,
        };
        site.ok_or_else(|| {
            format!("an end of a link such as \"n0\", \"b2\" or \"list\" expected, got {text:?}")
        })
    }
}

/// Both directions of all links. A direction without conditions passes everything without delay.
#[derive(Debug)]
pub struct Network {
    seed: u64,
    directions: RefCell<BTreeMap<(Site, Site), watch::Sender<Conditions>>>,
    resets: RefCell<BTreeMap<(Site, Site), watch::Sender<u64>>>,
}

/// One direction of a link, as used by one carrier of data over it: a connection, a listener or a datagram socket.
#[derive(Clone, Debug)]
pub struct LinkDirection {
    conditions: watch::Receiver<Conditions>,
    rng: Chance,
}

impl Network {
    /// A network without conditions. The random draws of each link follow from the seed and the names of its ends.
    pub fn new(seed: u64) -> Self {
        Network { seed, directions: RefCell::default(), resets: RefCell::default() }
    }

    /// A direction of a link, for the carrier with this number, by which its random draws differ from those of others:
    /// 0 for a listener or a datagram socket, from 1 for connections in the order in which a listener accepts them.
    pub fn direction(&self, from: Site, to: Site, carrier: u64) -> LinkDirection {
        let mut directions = self.directions.borrow_mut();
        let conditions = directions.entry((from, to)).or_default().subscribe();
        LinkDirection { conditions, rng: Chance::new(self.seed, &format!("{from}>{to}#{carrier}")) }
    }

    /// Changes the conditions of a direction, and returns whether it is cut now.
    pub fn change(&self, from: Site, to: Site, change: impl FnOnce(&mut Conditions)) -> bool {
        let mut directions = self.directions.borrow_mut();
        let direction = directions.entry((from, to)).or_default();
        direction.send_modify(change);
        let cut = direction.borrow().cut;
        cut
    }

    /// Removes all conditions, and returns the directions that were cut.
    pub fn heal(&self) -> Vec<(Site, Site)> {
        let directions = self.directions.borrow();
        let healed =
            directions.iter().filter(|(_, direction)| direction.send_replace(Conditions::default()).cut);
        healed.map(|(ends, _)| *ends).collect()
    }

    /// The number of resets of a link; each reset ends its connections.
    pub fn resets(&self, a: Site, b: Site) -> watch::Receiver<u64> {
        self.resets.borrow_mut().entry((a.min(b), a.max(b))).or_default().subscribe()
    }

    /// Resets all connections of a link.
    pub fn reset(&self, a: Site, b: Site) {
        self.resets.borrow_mut().entry((a.min(b), a.max(b))).or_default().send_modify(|count| *count += 1);
    }
}

impl LinkDirection {
    /// The current conditions.
    pub fn current(&self) -> Conditions {
        self.conditions.borrow().clone()
    }

    /// Whether nothing passes.
    pub fn is_cut(&self) -> bool {
        self.conditions.borrow().cut
    }

    /// Draws the fate of the next datagram.
    pub fn draw_fate(&mut self) -> (super::Fate, Vec<std::time::Duration>) {
        self.conditions.borrow().draw_fate(&mut self.rng)
    }

    /// Draws the delay of the next chunk of a stream.
    pub fn draw_delay(&mut self) -> std::time::Duration {
        self.conditions.borrow().draw_delay(&mut self.rng)
    }

    /// Waits until the direction is not cut; for ever if the network was dropped.
    pub async fn wait_open(&mut self) {
        if self.conditions.wait_for(|conditions| !conditions.cut).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the conditions change; for ever if the network was dropped.
    pub async fn changed(&mut self) {
        if self.conditions.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
