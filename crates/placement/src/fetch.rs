//! Fetches one array from other nodes, page by page.

use std::collections::BTreeMap;
use std::sync::Arc;

use hallpin_membership::names::{Moment, NodeId};

use crate::message::{Page, PageRequest};
use crate::pages::{apply, changes, pack, Change, MAX_PAGES};
use crate::table::{digest, is_sound, Array};

/// Pages requested at a time, and answered at a time.
const WINDOW_PAGES: u16 = 16;

/// The transfer of one array to this node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Fetch {
    /// Digest of the array being fetched.
    target: u64,
    /// The array to which the fetched changes apply.
    base: Array,
    /// Number of pages that the changes take; `None` until the first page arrives.
    page_count: Option<u16>,
    /// The pages that have arrived, by index.
    pages: BTreeMap<u16, Vec<Change>>,
    /// When pages were last requested.
    pub requested_at: Option<Moment>,
    /// Number of requests sent.
    pub tries: u32,
    /// The node whose page came last.
    pub source: Option<NodeId>,
}

impl Fetch {
    pub fn new(target: u64, base: Option<Array>) -> Self {
        let base = base.unwrap_or_else(|| Array::new(Vec::new()));
        Fetch {
            target,
            base,
            page_count: None,
            pages: BTreeMap::new(),
            requested_at: None,
            tries: 0,
            source: None,
        }
    }

    pub fn target(&self) -> u64 {
        self.target
    }

    /// Returns a request for the first pages that are still missing.
    pub fn next_request(&self) -> PageRequest {
        let missing = |index: &u16| !self.pages.contains_key(index);
        let first = (0..self.page_count.unwrap_or(1)).find(missing).unwrap_or(0);
        let ahead = (first..first.saturating_add(WINDOW_PAGES)).enumerate();
        let mask = ahead.filter(|(_, index)| missing(index)).fold(0, |mask, (bit, _)| mask | 1 << bit);
        PageRequest { target: self.target, base: self.base.digest, first, mask }
    }

    /// Returns whether all pages of the last request have arrived, so that the next ones can be requested.
    pub fn is_window_complete(&self, last: &PageRequest) -> bool {
        let end = self.page_count.unwrap_or(1);
        (0..WINDOW_PAGES)
            .filter(|bit| last.mask >> bit & 1 == 1)
            .map(|bit| last.first.saturating_add(bit))
            .all(|index| index >= end || self.pages.contains_key(&index))
    }

    /// Adds a page, and returns the array once all pages are there. A page of another transfer is ignored. If the
    /// result is invalid or does not match its digest, the fetch starts again from the empty array.
    pub fn add_page(&mut self, page: Page, from: NodeId) -> Option<Array> {
        if page.target != self.target || page.of == 0 || page.of > MAX_PAGES || page.index >= page.of {
            return None;
        }
        if page.base != self.base.digest {
            let empty = Array::new(Vec::new());
            if page.base != empty.digest {
                return None;
            }
            // Not every node has the base, but every node has the empty array: continue from that one.
            self.base = empty;
            self.page_count = None;
            self.pages.clear();
        }
        if self.page_count.is_some_and(|count| count != page.of) {
            return None;
        }
        self.page_count = Some(page.of);
        self.source = Some(from);
        self.pages.insert(page.index, page.changes);
        if self.pages.len() < usize::from(page.of) {
            return None;
        }
        let entries = apply(&self.base.entries, self.pages.values().flatten());
        if is_sound(&entries) && digest(&entries) == self.target {
            return Some(Array { digest: self.target, entries: Arc::from(entries) });
        }
        *self = Fetch { requested_at: self.requested_at, tries: self.tries, ..Fetch::new(self.target, None) };
        None
    }
}

/// Returns the requested pages, made from the arrays on this node; none if this node lacks the target array.
pub(crate) fn pages_for(request: &PageRequest, find_array: impl Fn(u64) -> Option<Array>) -> Vec<Page> {
    let Some(target) = find_array(request.target) else {
        return Vec::new();
    };
    let base = find_array(request.base).unwrap_or_else(|| Array::new(Vec::new()));
    let pages = pack(changes(&base.entries, &target.entries));
    let of = pages.len() as u16;
    let is_requested = |index: u16| {
        index >= request.first
            && index - request.first < WINDOW_PAGES
            && request.mask >> (index - request.first) & 1 == 1
    };
    let numbered = pages.into_iter().enumerate().map(|(index, changes)| (index as u16, changes));
    let requested = numbered.filter(|(index, _)| is_requested(*index));
    requested
        .map(|(index, changes)| Page { target: request.target, base: base.digest, index, of, changes })
        .collect()
}
