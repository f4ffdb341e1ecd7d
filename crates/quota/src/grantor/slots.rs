//! The slots that the grantor divides: one per resource, and per capacity a class. A class stands for every resource of
//! its capacity that a grant does not list, including those known only to the node.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::config::BudgetsConfig;
use crate::names::Resource;
use crate::quota_page::QuotaPage;

/// Most resources; any beyond have only their safe minimums.
const MAX_RESOURCES: usize = 4096;
/// Most capacities that have a class; a resource of any other capacity is always listed.
pub(crate) const MAX_CLASSES: usize = 2;

/// Identifies a slot. The derived order puts classes before resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SlotKey {
    /// All unlisted resources of this capacity.
    Class(u32),
    /// One resource.
    Resource(Resource),
}

#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) key: SlotKey,
    pub(crate) capacity: u32,
    /// The amount that can be leased.
    pub(crate) leasable: u32,
    /// The amount that grants in force may use, summed over all nodes.
    pub(crate) reserved: u32,
    /// By tenant, whether the last division met its demand.
    pub(crate) satisfied: Vec<bool>,
    /// The resource no longer exists, but some nodes may not know yet.
    retired: bool,
    /// The resource's capacity has changed, so nodes may use another class for it: it is always listed.
    pub(crate) explicit: bool,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Slots {
    slots: Vec<Slot>,
}

/// For each slot after a change, the old indexes of the slots whose grants a node may be using for it.
pub(crate) type SlotSources = Vec<Vec<usize>>;

impl Slots {
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(crate) fn at(&self, index: usize) -> &Slot {
        &self.slots[index]
    }

    pub(crate) fn set_satisfied(&mut self, index: usize, satisfied: Vec<bool>) {
        self.slots[index].satisfied = satisfied;
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Slot> {
        self.slots.iter_mut()
    }

    /// All classes, and the resources within a page's range.
    pub(crate) fn covered_by<'a>(&'a self, page: &'a QuotaPage) -> impl Iterator<Item = (usize, &'a Slot)> {
        self.slots.iter().enumerate().filter(|(_, slot)| match slot.key {
            SlotKey::Class(_) => true,
            SlotKey::Resource(resource) => page.covers(resource),
        })
    }

    /// The index of the class of a slot's capacity, if there is one.
    pub(crate) fn class_index(&self, slot: &Slot) -> Option<usize> {
        self.index_of(SlotKey::Class(slot.capacity))
    }

    /// Replaces one node's reserved amounts, by slot, in the sums over all nodes.
    pub(crate) fn update_reserved(&mut self, before: &[u32], after: &[u32]) {
        for (slot, (before, after)) in self.slots.iter_mut().zip(before.iter().zip(after)) {
            slot.reserved = slot.reserved - before + after;
        }
    }

    /// The slots for new capacities, with their sources. Resources that are gone are kept as retired.
    pub(crate) fn updated(
        &self,
        capacities: &BTreeMap<Resource, u32>,
        config: &BudgetsConfig,
    ) -> (Slots, SlotSources) {
        let mut slots: BTreeMap<SlotKey, Slot> =
            self.slots.iter().map(|slot| (slot.key, slot.clone())).collect();
        for slot in slots.values_mut() {
            slot.retired =
                matches!(slot.key, SlotKey::Resource(resource) if !capacities.contains_key(&resource));
        }
        for (&resource, &capacity) in capacities {
            let key = SlotKey::Resource(resource);
            let known = slots.get(&key);
            if known.is_none() && slots.len() >= MAX_RESOURCES + MAX_CLASSES {
                continue;
            }
            let explicit = known.is_some_and(|slot| slot.explicit || slot.capacity != capacity);
            slots.insert(key, slot(key, capacity, explicit, config));
        }
        let class_count = slots.keys().filter(|key| matches!(key, SlotKey::Class(_))).count();
        let new = capacities_by_frequency(capacities)
            .into_iter()
            .filter(|capacity| !slots.contains_key(&SlotKey::Class(*capacity)));
        let new: Vec<u32> = new.take(MAX_CLASSES.saturating_sub(class_count)).collect();
        slots.extend(new.into_iter().map(|capacity| {
            (SlotKey::Class(capacity), slot(SlotKey::Class(capacity), capacity, false, config))
        }));
        let slots = Slots { slots: slots.into_values().collect() };
        let sources = slots.iter().map(|slot| self.sources(slot)).collect();
        (slots, sources)
    }

    /// The old slots whose grants a node may be using for this slot: its own and, where it is new or its capacity
    /// changed, those of classes.
    fn sources(&self, new: &Slot) -> Vec<usize> {
        match (self.index_of(new.key), new.key) {
            (Some(own), _) if !new.explicit => vec![own],
            (own, SlotKey::Resource(_)) => {
                let classes = |old: &Slot| matches!(old.key, SlotKey::Class(size) if new.explicit || size == new.capacity);
                let classes = self.slots.iter().enumerate().filter(|(_, slot)| classes(slot));
                own.into_iter().chain(classes.map(|(index, _)| index)).collect()
            }
            (own, SlotKey::Class(_)) => own.into_iter().collect(),
        }
    }

    fn index_of(&self, key: SlotKey) -> Option<usize> {
        self.slots.binary_search_by_key(&key, |slot| slot.key).ok()
    }

    /// Drops retired resources whose grants equal those of their class at all nodes, by `has_equal_grants`. Returns the
    /// sources of the slots that stay, or `None` if all do.
    pub(crate) fn drop_retired(
        &mut self,
        has_equal_grants: impl Fn(usize, Option<usize>) -> bool,
    ) -> Option<SlotSources> {
        let is_dropped =
            |index: usize, slot: &Slot| slot.retired && has_equal_grants(index, self.class_index(slot));
        let kept: Vec<usize> = self
            .slots
            .iter()
            .enumerate()
            .filter(|(index, slot)| !is_dropped(*index, slot))
            .map(|(index, _)| index)
            .collect();
        if kept.len() == self.slots.len() {
            return None;
        }
        self.slots = kept.iter().map(|&index| self.slots[index].clone()).collect();
        Some(kept.into_iter().map(|index| vec![index]).collect())
    }
}

/// The distinct capacities, most frequent first.
pub(crate) fn capacities_by_frequency(capacities: &BTreeMap<Resource, u32>) -> Vec<u32> {
    let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
    capacities.values().for_each(|capacity| *counts.entry(*capacity).or_default() += 1);
    let mut distinct: Vec<u32> = counts.keys().copied().collect();
    distinct.sort_by_key(|capacity| Reverse(counts.get(capacity).copied()));
    distinct
}

fn slot(key: SlotKey, capacity: u32, explicit: bool, config: &BudgetsConfig) -> Slot {
    Slot {
        key,
        capacity,
        leasable: config.leasable(capacity),
        reserved: 0,
        satisfied: Vec::new(),
        retired: false,
        explicit,
    }
}
