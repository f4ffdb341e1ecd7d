//! A pull of a peer's whole table, page by page (anti-entropy, Demers and others 1987).

use std::time::Duration;

use crate::names::{Moment, NodeId};

/// Number of requests for one page before the pull is given up.
const MAX_TRIES: u8 = 4;
/// Time until a request is repeated, in multiples of the time between pages.
const RETRY_PAGE_INTERVALS: u32 = 4;

#[derive(Clone, Debug)]
pub(crate) struct Pull {
    active: Option<ActivePull>,
    /// Earliest start of the next pull.
    next_at: Moment,
    page_every: Duration,
}

#[derive(Clone, Debug)]
struct ActivePull {
    /// The peer whose table is pulled.
    from: NodeId,
    /// Node number from which the awaited page starts.
    at: u16,
    /// Number of requests sent for this page.
    tries: u8,
    next_request_at: Moment,
}

impl Pull {
    pub fn new(page_every: Duration) -> Self {
        Pull { active: None, next_at: Moment::ZERO, page_every }
    }

    /// Starts a pull from a peer with a different fingerprint, unless a pull is active or was started recently.
    pub fn start(&mut self, now: Moment, from: NodeId, next_at: Moment) {
        if self.active.is_none() && now >= self.next_at {
            self.active = Some(ActivePull { from, at: 0, tries: 0, next_request_at: now });
            self.next_at = next_at;
        }
    }

    /// Returns the request that is due: the peer and the first node of the page.
    pub fn next_request(&mut self, now: Moment) -> Option<(NodeId, u16)> {
        let active = self.active.as_mut().filter(|active| active.next_request_at <= now)?;
        if active.tries == MAX_TRIES {
            self.active = None;
            return None;
        }
        active.tries += 1;
        active.next_request_at = now + self.page_every * RETRY_PAGE_INTERVALS;
        Some((active.from, active.at))
    }

    /// Processes a page; any page but the awaited one is ignored.
    pub fn on_page(&mut self, now: Moment, from: NodeId, at: u16, next: Option<u16>) {
        let Some(active) = self.active.as_mut().filter(|active| (active.from, active.at) == (from, at))
        else {
            return;
        };
        match next.filter(|next| *next > at) {
            Some(next) => {
                *active = ActivePull { from, at: next, tries: 0, next_request_at: now + self.page_every }
            }
            None => self.active = None,
        }
    }

    pub fn due(&self) -> Option<Moment> {
        self.active.as_ref().map(|active| active.next_request_at)
    }
}
