//! Checks a history of tables in force against the invariants of the protocol.

use std::collections::BTreeMap;

use hallpin_placement::TableId;

/// The state of one node at one instant of true time. When a node switches, all nodes are sampled at that instant.
#[derive(Clone, Debug)]
pub struct Sample {
    pub at_us: u128,
    pub node: u16,
    /// The table in force and the digest of its array.
    pub in_force: Option<(TableId, u64)>,
    /// Whether the node has a lease by its own clock.
    pub leased: bool,
    pub held_tables: Vec<TableId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    TwoTablesUnderOneVersion,
    OlderAfterNewer,
    SwitchWhileOneLacksIt,
}

/// Returns the first violation in a history, with the sample that shows it.
pub fn check_history(history: &[Sample]) -> Result<(), (Violation, Sample)> {
    let mut digests = BTreeMap::new();
    let mut last: BTreeMap<u16, &Sample> = BTreeMap::new();
    for sample in history {
        let Some((id, digest)) = sample.in_force else {
            last.insert(sample.node, sample);
            continue;
        };
        if *digests.entry(id).or_insert(digest) != digest {
            return Err((Violation::TwoTablesUnderOneVersion, sample.clone()));
        }
        // The node's previous sample may be of an earlier incarnation, whose table in force counts too: a
        // restart must not lead to an older one.
        let before = last.insert(sample.node, sample).and_then(|before| before.in_force);
        if before.is_some_and(|(before, _)| before > id) {
            return Err((Violation::OlderAfterNewer, sample.clone()));
        }
        let switched = before.map(|(before, _)| before) != Some(id);
        let now = history.iter().filter(|other| switched && other.at_us == sample.at_us);
        let lacks = |other: &&Sample| other.leased && !other.held_tables.iter().any(|held| *held >= id);
        if now.clone().any(|other| lacks(&other)) {
            return Err((Violation::SwitchWhileOneLacksIt, sample.clone()));
        }
    }
    Ok(())
}

fn sample(at_us: u128, node: u16, version: u64, digest: u64, leased: bool) -> Sample {
    let id = TableId { epoch: 1, version };
    Sample { at_us, node, in_force: Some((id, digest)), leased, held_tables: vec![id] }
}

#[test]
fn each_invariant_has_a_history_that_violates_it() {
    let verdict = |history: &[Sample]| check_history(history).err().map(|(violation, _)| violation);
    let good = [sample(1, 0, 1, 7, true), sample(2, 0, 2, 8, true), sample(2, 1, 2, 8, true)];
    assert_eq!(verdict(&good), None);
    let conflicting = [sample(1, 0, 1, 7, true), sample(2, 1, 1, 8, true)];
    assert_eq!(verdict(&conflicting), Some(Violation::TwoTablesUnderOneVersion));
    let reverted = [sample(1, 0, 2, 7, true), sample(2, 0, 1, 8, true)];
    assert_eq!(verdict(&reverted), Some(Violation::OlderAfterNewer));
    let premature = [
        sample(1, 0, 1, 7, true),
        sample(1, 1, 1, 7, true),
        sample(2, 0, 2, 8, true),
        sample(2, 1, 1, 7, true),
    ];
    assert_eq!(verdict(&premature), Some(Violation::SwitchWhileOneLacksIt));
    let mut fenced = premature;
    fenced[3].leased = false;
    assert_eq!(verdict(&fenced), None);
}
