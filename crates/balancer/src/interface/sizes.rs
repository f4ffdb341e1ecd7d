//! Sizes of the balancer's tables.

/// Size of each table, for monitoring and tests that check that nothing grows without bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Sizes {
    /// Requests without a final answer or with an attempt in flight.
    pub requests: usize,
    /// Requests among them that are held.
    pub waiting: usize,
    /// Known servers.
    pub servers: usize,
    /// Points on the hash ring.
    pub points: usize,
    /// Entries of the key-location cache: pairs of a key and a server.
    pub places: usize,
    /// Fetches in flight, and the reads that wait for one.
    pub fetches: usize,
    /// Scheduled timers.
    pub due: usize,
    /// Total of the small tables: recent requests and their keys, kinds of servers, ejected servers, and
    /// entries of the placement table.
    pub small: usize,
}

impl Sizes {
    /// The maximum of each size.
    #[must_use]
    pub fn max_of_each(self, other: Sizes) -> Sizes {
        Sizes {
            requests: self.requests.max(other.requests),
            waiting: self.waiting.max(other.waiting),
            servers: self.servers.max(other.servers),
            points: self.points.max(other.points),
            places: self.places.max(other.places),
            fetches: self.fetches.max(other.fetches),
            due: self.due.max(other.due),
            small: self.small.max(other.small),
        }
    }

    /// Name and size of each table.
    pub fn tables(&self) -> [(&'static str, usize); 8] {
        [
            ("requests", self.requests),
            ("waiting", self.waiting),
            ("servers", self.servers),
            ("points", self.points),
            ("places", self.places),
            ("fetches", self.fetches),
            ("due", self.due),
            ("small", self.small),
        ]
    }
}
