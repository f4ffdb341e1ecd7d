//! When nodes switch to a placement table with a newly joined box, inferred from where their attempts for moved keys
//! arrive.

use std::collections::BTreeMap;
use std::time::Duration;

use hallpin_balancer::{key_owner, Key, ServerId, TableEntry};
use hallpin_fault_harness::spec::Action;
use hallpin_fault_harness::trace::{Event, Record};
use hallpin_simulation::time::Time;

use crate::metrics::Value;
use crate::poll::wait_all_report;
use crate::run::{cache_box, Bench, Failure};

pub async fn play(bench: &mut Bench) -> Result<(), Failure> {
    let count = bench.run.nodes;
    bench.harness.start_load();
    if bench.run.control_plane_on {
        let first = Duration::from_secs(20);
        wait_all_report(&bench.folder, 0..count, "app_table_version", |_, version| version > 0, first)
            .await?;
    }
    bench.elapse(3.0).await;
    let joined = bench.now();
    let joining = bench.spec.each_box().count() - 1;
    bench.inject(Action::Join(cache_box(joining))).await?;
    bench.elapse(7.0).await;
    bench.harness.drain_load().await?;
    let records = bench.records();
    let notified = notified(&records, joined, count);
    let mut key_owners = KeyOwners::of(bench, joining);
    let received = ReceivedAttempts::of(&records, joined, count, &mut key_owners);
    let listed =
        records.iter().find(|r| r.at >= joined && matches!(r.event, Event::Listed { .. })).map(|r| r.at);
    // Negative if it happened before the last node was notified.
    let after = |at: Option<Time>| Some(at?.0 as f64 / 1e6 - notified?.0 as f64 / 1e6);
    let between = |from: Option<Time>, to: Option<Time>| Some(to?.since(from?).as_secs());
    let (first, last) = (received.first(), received.last());
    bench.report(Value::less_is_better(
        "first sending by the new table, s after the last was told",
        after(first),
    ));
    bench.report(Value::less_is_better(
        "last node's first by the new table, s after the last was told",
        after(last),
    ));
    bench.report(Value::less_is_better("first to last node, s, at most", between(first, last)));
    bench.report(Value::less_is_better(
        "last node's first by the new table, s after the list had it",
        between(listed, last),
    ));
    // The last attempt by the old table after the first by the new one: a lower bound of how far nodes are apart.
    let old = received.old.iter().copied().flatten().max();
    bench.report(Value::less_is_better("first to last node, s, at least", between(first, old)));
    let (returned, all) = received.keys;
    bench.report(Value::less_is_better(
        "moved keys sent to both homes, share",
        returned as f64 / all.max(1) as f64,
    ));
    Ok(())
}

/// When the last node was notified of the box; `None` if a node never was.
fn notified(records: &[Record], joined: Time, count: usize) -> Option<Time> {
    let mut listed = None;
    let mut notified: Vec<Option<Time>> = vec![None; count];
    for record in records.iter().filter(|record| record.at >= joined) {
        match record.event {
            Event::Listed { revision, .. } => listed = listed.or(Some(revision)),
            Event::Told { node, revision, .. } if listed.is_some_and(|listed| revision >= listed) => {
                notified[node] = notified[node].or(Some(record.at));
            }
            _ => {}
        }
    }
    notified.into_iter().collect::<Option<Vec<Time>>>()?.into_iter().max()
}

/// The owners of keys without and with the joining box.
struct KeyOwners {
    old: Vec<TableEntry>,
    new: Vec<TableEntry>,
    known: BTreeMap<u64, Option<(usize, usize)>>,
}

impl KeyOwners {
    fn of(bench: &Bench, joining: usize) -> Self {
        let entry = |(of, group): (usize, &hallpin_fault_harness::spec::Boxes)| TableEntry {
            server: ServerId(format!("b{of}").into()),
            weight: f64::from(group.slots),
        };
        let new: Vec<TableEntry> = bench.spec.each_box().enumerate().map(entry).collect();
        KeyOwners { old: new[..joining].to_vec(), new, known: BTreeMap::new() }
    }

    /// The old and the new owner of a key, if it has moved.
    fn moved(&mut self, key: u64) -> Option<(usize, usize)> {
        let KeyOwners { old, new, known } = self;
        let owner =
            |table: &[TableEntry]| key_owner(table, Key(key))?.0.strip_prefix('b')?.parse::<usize>().ok();
        *known.entry(key).or_insert_with(|| owner(old).zip(owner(new)).filter(|(old, new)| old != new))
    }
}

/// What the boxes received from each node.
struct ReceivedAttempts {
    /// Time of each node's first attempt by the new table.
    new: Vec<Option<Time>>,
    /// Time of each node's last attempt by the old table before that.
    old: Vec<Option<Time>>,
    /// Number of moved keys that arrived at their old owner after any attempt had reached the new one, and of all moved
    /// keys.
    keys: (usize, usize),
}

impl ReceivedAttempts {
    fn of(records: &[Record], joined: Time, count: usize, key_owners: &mut KeyOwners) -> Self {
        let (mut new, mut old) = (vec![None; count], vec![None; count]);
        let mut sent = std::collections::BTreeSet::new();
        let mut keys: BTreeMap<u64, (bool, bool)> = BTreeMap::new();
        for record in records {
            let Event::Attempt { of, node, id, key, write: false, .. } = record.event else { continue };
            // Only the first attempt of a request goes where the table places it.
            if !sent.insert(id) || record.at < joined {
                continue;
            }
            let Some((old_owner, new_owner)) = key_owners.moved(key) else { continue };
            let (reached_new, returned) = keys.entry(key).or_default();
            if of == new_owner {
                *reached_new = true;
                new[node] = new[node].or(Some(record.at));
            } else if of == old_owner {
                *returned |= *reached_new;
                if new[node].is_none() {
                    old[node] = Some(record.at);
                }
            }
        }
        let returned = keys.values().filter(|(_, returned)| *returned).count();
        ReceivedAttempts { new, old, keys: (returned, keys.len()) }
    }

    fn first(&self) -> Option<Time> {
        self.new.iter().copied().flatten().min()
    }

    /// `None` if a node never used the new table.
    fn last(&self) -> Option<Time> {
        self.new.iter().copied().collect::<Option<Vec<Time>>>()?.into_iter().max()
    }
}
