//! The endpoint list of service discovery: numbered revisions, and the changes since any of them.

use std::collections::BTreeMap;

use crate::time::Time;

/// Index of a box in the scenario.
pub type BoxId = usize;

/// State of a box on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Removed from the list; appears only among changes.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The box.
    pub cache_box: BoxId,
    /// State of the box.
    pub phase: Phase,
    /// Start of the process; `None` if it started before the simulated time or the box is gone.
    pub started: Option<Time>,
}

/// A watch event: what discovery sends to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// Revision of the list after this event.
    pub revision: u64,
    /// Whether `listings` is the complete list; otherwise it has only the entries that changed.
    pub complete: bool,
    /// Complete list or changed entries, as `complete` says.
    pub listings: Vec<Listing>,
}

/// The endpoint list with its history.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Latest entry of each box that was ever listed, by its index.
    listings: Vec<Option<Listing>>,
    /// The entry that each revision changed, from revision 1 on.
    changes: Vec<Listing>,
}

/// Most revisions sent as changes; a node that is further behind gets the complete list.
const MAX_CHANGES: usize = 256;

impl List {
    /// Current revision of the list; 0 before the first entry.
    pub fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Sets the entry of a box; returns the new revision, or `None` if nothing changes.
    pub fn set(&mut self, listing: Listing) -> Option<u64> {
        if self.listings.len() <= listing.cache_box {
            self.listings.resize(listing.cache_box + 1, None);
        }
        let entry = &mut self.listings[listing.cache_box];
        if *entry == Some(listing) || (entry.is_none() && listing.phase == Phase::Gone) {
            return None;
        }
        *entry = Some(listing);
        self.changes.push(listing);
        Some(self.revision())
    }

    /// The complete list.
    pub fn complete_list(&self) -> WatchEvent {
        let listed = self.listings.iter().flatten().filter(|listing| listing.phase != Phase::Gone);
        WatchEvent { revision: self.revision(), complete: true, listings: listed.copied().collect() }
    }

    /// The list as it was at an earlier revision.
    pub fn at_revision(&self, revision: u64) -> List {
        let mut list = List::default();
        let change_count = usize::try_from(revision).unwrap_or(usize::MAX).min(self.changes.len());
        self.changes[..change_count].iter().for_each(|listing| {
            list.set(*listing);
        });
        list
    }

    /// The changes since a revision, with each box once in its latest state. The complete list for a revision that is
    /// far behind, or ahead, as after a restart of discovery.
    pub fn changes_since(&self, revision: u64) -> WatchEvent {
        self.changes_between(revision, self.revision())
    }

    /// Like [`List::changes_since`], for the list as it was at revision `until`; but a complete list is
    /// always the current one.
    pub fn changes_between(&self, revision: u64, until: u64) -> WatchEvent {
        let until = until.min(self.revision());
        let index = |revision| usize::try_from(revision).ok();
        let missed = index(revision).zip(index(until)).and_then(|(from, to)| self.changes.get(from..to));
        let Some(missed) = missed.filter(|missed| missed.len() <= MAX_CHANGES) else {
            return self.complete_list();
        };
        // Later changes of a box replace earlier ones.
        let latest: BTreeMap<BoxId, Listing> =
            missed.iter().map(|listing| (listing.cache_box, *listing)).collect();
        WatchEvent { revision: until, complete: false, listings: latest.into_values().collect() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(cache_box: BoxId, phase: Phase) -> Listing {
        Listing { cache_box, phase, started: None }
    }

    #[test]
    fn an_update_has_each_changed_box_once_in_its_latest_state() {
        let mut list = List::default();
        assert_eq!(list.set(entry(0, Phase::Gone)), None, "a box that was never listed cannot be removed");
        assert_eq!(list.set(entry(0, Phase::Ready)), Some(1));
        assert_eq!(list.set(entry(2, Phase::Ready)), Some(2));
        assert_eq!(list.set(entry(2, Phase::Ready)), None);
        list.set(entry(0, Phase::Draining));
        list.set(entry(0, Phase::Gone));
        let update = list.changes_since(2);
        assert_eq!(
            update,
            WatchEvent { revision: 4, complete: false, listings: vec![entry(0, Phase::Gone)] }
        );
        assert_eq!(list.changes_since(4).listings, []);
        assert_eq!(list.complete_list().listings, [entry(2, Phase::Ready)]);
        assert!(list.changes_since(5).complete, "a node that is ahead has a different list");
        let earlier = WatchEvent { revision: 3, complete: false, listings: vec![entry(0, Phase::Draining)] };
        assert_eq!(list.changes_between(2, 3), earlier, "as the list was at revision 3");
        assert_eq!(
            (list.at_revision(3).revision(), list.at_revision(3).complete_list().listings.len()),
            (3, 2)
        );
    }

    #[test]
    fn a_node_far_behind_gets_the_complete_list() {
        let mut list = List::default();
        for n in 0..=MAX_CHANGES {
            list.set(entry(0, if n % 2 == 0 { Phase::Ready } else { Phase::Draining }));
        }
        assert!(list.changes_since(0).complete && !list.changes_since(1).complete);
    }
}
