//! A policy that sees the actual state of boxes and planner with a delay: the bound for nodes with complete but delayed
//! information.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

use hallpin_balancer::Seconds;
use hallpin_simulation::policy::{TrueBox, TruePlanner, WorldView};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::boxes::View;
use crate::pick::{Choice, Pick, Rendezvous, RoutingRequest};

/// Minimum interval between two snapshots of the world.
const SNAPSHOT_INTERVAL: Seconds = 0.05;

/// State of the world at one time.
struct Snapshot {
    /// Time at which it was taken.
    at: Seconds,
    boxes: Vec<TrueBox>,
    planner: TruePlanner,
}

/// Snapshots taken by a run's nodes in each depot, the oldest first, and the delay with which they are used.
#[derive(Clone)]
pub(crate) struct SnapshotHistory {
    delay: Seconds,
    depots: Arc<Mutex<BTreeMap<usize, VecDeque<Snapshot>>>>,
}

impl SnapshotHistory {
    pub(crate) fn new(delay: Seconds) -> Self {
        SnapshotHistory { delay, depots: Arc::default() }
    }

    /// Takes a snapshot if one is due and passes the latest one that is at least `delay` old to `then`, or the oldest
    /// if none is that old.
    fn with_snapshot<T>(&self, now: Seconds, world: &dyn WorldView, then: impl FnOnce(&Snapshot) -> T) -> T {
        let mut depots = self.depots.lock().unwrap_or_else(PoisonError::into_inner);
        let snapshots = depots.entry(world.depot()).or_default();
        // The warm-up has its own clock, which ran before the clock of the run started.
        if snapshots.back().is_some_and(|last| last.at > now) {
            snapshots.clear();
        }
        if snapshots.back().is_none_or(|last| now - last.at >= SNAPSHOT_INTERVAL) {
            let boxes = (0..world.boxes()).map(|n| world.look(n)).collect();
            snapshots.push_back(Snapshot { at: now, boxes, planner: world.planner() });
        }
        while snapshots.get(1).is_some_and(|second| now - second.at >= self.delay) {
            snapshots.pop_front();
        }
        then(&snapshots[0])
    }
}

/// Sends a read to a box that has cached or is fetching its key, and any other request to the first owner of
/// the key, by rendezvous hashing, that was up and had capacity in the snapshot. It holds calls to the
/// planner back at random while the snapshot's planner load exceeds 1.5. Cache contents change slowly and are
/// seen without delay; the load of boxes and planner is seen delayed.
pub struct LateSeeing {
    owners: Rendezvous,
    history: SnapshotHistory,
}

impl LateSeeing {
    /// Time after which a request that found no capacity is routed again.
    const RETRY_INTERVAL: Seconds = 0.02;
    /// Number of owners of a key that are tried; more would scatter its copies.
    const MAX_OWNERS: usize = 3;
    /// Share of its total time for which a request waits for capacity.
    const WAIT_SHARE: f64 = 0.2;
    /// Requests per slot below which a box that has the key cached is sent one more, which may queue there.
    const MAX_REQUESTS_PER_SLOT: f64 = 1.5;
    /// Planner load, in calls per call that it can process at once, above which further calls are held back at random,
    /// in proportion to the excess.
    const MAX_PLANNER_LOAD: f64 = 1.5;

    pub(crate) fn new(history: SnapshotHistory) -> Self {
        LateSeeing { owners: Rendezvous::default(), history }
    }

    /// Requests per slot of a box: the larger of the snapshot's count and this node's own requests in flight. `None` if
    /// the box was not up.
    fn load(boxes: View, snapshot: &Snapshot, index: usize) -> Option<f64> {
        let seen = boxes.true_index(index).and_then(|n| snapshot.boxes.get(n)).filter(|s| s.up)?;
        let requests = (seen.demanded_slots as f64).max(f64::from(boxes.in_flight(index)));
        Some(requests / seen.current_slots.max(1.0))
    }

    /// Picks one of these boxes at random, weighted by its spare capacity in the snapshot. Not simply the
    /// least loaded one, since all nodes would send to the box that was idlest then for the whole delay
    /// (herding).
    fn pick_by_capacity(
        boxes: View,
        snapshot: &Snapshot,
        indices: impl Iterator<Item = usize>,
        limit: f64,
        random: &mut Pcg64Mcg,
    ) -> Option<usize> {
        let capacity = |i: usize| Self::load(boxes, snapshot, i).map(|load| (i, limit - load));
        let candidates: Vec<(usize, f64)> =
            indices.filter_map(capacity).filter(|(_, capacity)| *capacity > 0.0).collect();
        let mut remaining =
            random.random::<f64>() * candidates.iter().map(|(_, capacity)| capacity).sum::<f64>();
        let chosen = candidates.iter().find(|(_, capacity)| {
            remaining -= capacity;
            remaining < 0.0
        });
        chosen.or(candidates.last()).map(|(i, _)| *i)
    }

    /// Box that makes another copy of a key: one of the key's owners, or any box if those that have the key are
    /// crowded.
    fn pick_copy_box(
        &self,
        request: RoutingRequest,
        boxes: View,
        snapshot: &Snapshot,
        has_copy: bool,
        random: &mut Pcg64Mcg,
    ) -> Option<usize> {
        if has_copy {
            return Self::pick_by_capacity(
                boxes,
                snapshot,
                (0..boxes.len()).filter(|i| boxes.is_open(*i)),
                1.0,
                random,
            );
        }
        let is_up = |i| boxes.is_open(i) && Self::load(boxes, snapshot, i).is_some();
        let owners = self.owners.best_of(Self::MAX_OWNERS, request.key, boxes, is_up);
        owners.into_iter().find(|i| Self::load(boxes, snapshot, *i).is_some_and(|load| load < 1.0))
    }
}

impl Pick for LateSeeing {
    fn list_changed(&mut self, boxes: View) {
        self.owners.list_changed(boxes);
    }

    fn pick(&mut self, request: RoutingRequest, boxes: View, random: &mut Pcg64Mcg) -> Choice {
        self.history.with_snapshot(boxes.now(), boxes.world(), |snapshot| {
            let has_or_fetches =
                |i: &usize| boxes.has_copy(*i, request.id) || boxes.is_fetching(*i, request.id);
            let holders: Vec<usize> = match request.write {
                true => Vec::new(),
                false => (0..boxes.len()).filter(|i| boxes.is_open(*i)).filter(has_or_fetches).collect(),
            };
            let holder = Self::pick_by_capacity(
                boxes,
                snapshot,
                holders.iter().copied(),
                Self::MAX_REQUESTS_PER_SLOT,
                random,
            );
            if let Some(index) = holder {
                return Choice::Send(index);
            }
            let planner = snapshot.planner;
            if !planner.up {
                return Choice::Reject;
            }
            let planner_admits = random.random::<f64>() * planner.load < Self::MAX_PLANNER_LOAD;
            let may_wait = request.age < (request.age + request.time_left) * Self::WAIT_SHARE;
            match self
                .pick_copy_box(request, boxes, snapshot, !holders.is_empty(), random)
                .filter(|_| planner_admits)
            {
                Some(index) => Choice::Send(index),
                None if may_wait => Choice::Wait(Self::RETRY_INTERVAL),
                None => Choice::Reject,
            }
        })
    }
}

#[cfg(test)]
mod tests {
    use hallpin_balancer::{RequestId, ServerId};

    use super::*;

    /// A world of one box that is up or down.
    struct OneBoxWorld(bool);

    impl WorldView for OneBoxWorld {
        fn boxes(&self) -> usize {
            1
        }

        fn depot(&self) -> usize {
            0
        }

        fn find(&self, _: &ServerId) -> Option<usize> {
            Some(0)
        }

        fn look(&self, _: usize) -> TrueBox {
            TrueBox { up: self.0, slots: 1.0, current_slots: 1.0, demanded_slots: 0, can_fetch: true }
        }

        fn keeps(&self, _: usize, _: RequestId) -> bool {
            false
        }

        fn fetches(&self, _: usize, _: RequestId) -> bool {
            false
        }

        fn planner(&self) -> TruePlanner {
            TruePlanner::default()
        }
    }

    #[test]
    fn the_snapshot_is_as_old_as_the_delay_and_a_new_run_starts_afresh() {
        let history = SnapshotHistory::new(1.0);
        let up =
            |now, is_up| history.with_snapshot(now, &OneBoxWorld(is_up), |snapshot| snapshot.boxes[0].up);
        assert!(up(5.0, true));
        assert!(up(5.5, false), "the first snapshot is used until one is old enough");
        assert!(up(6.4, false));
        assert!(!up(6.6, true), "5.5 s is over 1 s ago");
        assert!(up(7.7, false), "as it was at 6.6 s");
        assert!(up(0.0, true), "the clock went back: another run");
        assert!(up(0.5, false));
    }
}
