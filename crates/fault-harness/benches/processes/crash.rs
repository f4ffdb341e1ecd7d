//! Cost of the control plane under steady load, and time until the nodes agree after a crash and after a partition
//! heals.
//!
//! Agreement is read from the metric `app_peers_alive`, polled at each node; datagrams are counted by the relay.

use std::time::Duration;

use hallpin_fault_harness::relay::Site;
use hallpin_fault_harness::spec::{Doing, Ends, State};
use hallpin_fault_harness::trace::{Event, Record};
use hallpin_simulation::time::Time;

use crate::figures::Value;
use crate::run::{nodes, Failure, Stage};
use crate::stat::{all_show, processor_time};

const ALIVE: &str = "app_peers_alive";
/// Timeout for agreement; a longer time is reported as never.
const BOUND: Duration = Duration::from_secs(20);

pub async fn play(stage: &mut Stage) -> Result<(), Failure> {
    let count = stage.run.nodes;
    stage.rig.begin();
    if stage.run.on {
        all_agree(stage).await?;
    }
    stage.pass(3.0).await;
    steady(stage).await?;
    if stage.run.on {
        let victim = usize::try_from(stage.run.seed).unwrap_or(0) % count;
        crash(stage, victim).await?;
        stage.fault(Doing::Start { nodes: nodes([victim]), state: State::Kept }).await?;
        all_agree(stage).await?;
        stage.pass(2.0).await;
        heal(stage).await?;
    }
    Ok(stage.rig.quiet().await?)
}

/// Waits until every node sees all nodes alive, and returns how long that took.
async fn all_agree(stage: &Stage) -> Result<Option<f64>, Failure> {
    let all = stage.run.nodes as u64;
    Ok(all_show(&stage.folder, 0..stage.run.nodes, ALIVE, |_, alive| alive == all, BOUND).await?)
}

fn datagrams(records: &[Record], (from, to): (Time, Time), is_it: impl Fn(Site, Site) -> bool) -> (u64, u64) {
    let within = records.iter().filter(|record| (from..to).contains(&record.at));
    within.fold((0, 0), |(number, sum), record| match record.event {
        Event::Datagram { from, to, bytes, .. } if is_it(from, to) => (number + 1, sum + bytes as u64),
        _ => (number, sum),
    })
}

/// Processor time, datagrams and bytes per node and second.
async fn steady(stage: &mut Stage) -> Result<(), Failure> {
    let used =
        |stage: &Stage| stage.processes().into_iter().map(processor_time).sum::<std::io::Result<f64>>();
    let before = used(stage)?;
    let window = stage.pass(6.0).await;
    let spent = used(stage)? - before;
    let each = stage.run.nodes as f64 * window.1.since(window.0).as_secs();
    let (number, bytes) = datagrams(&stage.records(), window, |_, _| true);
    stage.tell(Value::less_is_better("processor of a node, % of a core", 100.0 * spent / each));
    stage.tell(Value::less_is_better("datagrams a node and second", number as f64 / each));
    stage.tell(Value::less_is_better("bytes a node and second", bytes as f64 / each));
    Ok(())
}

async fn crash(stage: &mut Stage, victim: usize) -> Result<(), Failure> {
    let count = stage.run.nodes;
    let to_it = |stage: &Stage, window: (Time, Time)| {
        let (number, _) = datagrams(&stage.records(), window, |_, to| to == Site::Node(victim));
        number as f64 / window.1.since(window.0).as_secs() / (count - 1) as f64
    };
    let before = to_it(stage, stage.pass(2.0).await);
    stage.fault(Doing::Kill(nodes([victim]))).await?;
    let left = (0..count).filter(|node| *node != victim);
    let took = all_show(&stage.folder, left, ALIVE, |_, alive| alive == count as u64 - 1, BOUND).await?;
    stage.tell(Value::less_is_better("agreement after a crash, s", took));
    let after = to_it(stage, stage.pass(2.0).await);
    stage.tell(Value::less_is_better("datagrams to the dead of a node and second, before", before));
    let later = to_it(stage, stage.pass(3.0).await);
    stage
        .tell(Value::less_is_better("datagrams to the dead of a node and second, in 2 s once agreed", after));
    stage
        .tell(Value::less_is_better("datagrams to the dead of a node and second, in 3 s after those", later));
    Ok(())
}

/// Partitions a third of the nodes from the others until both sides agree on that and for two more seconds, then heals.
async fn heal(stage: &mut Stage) -> Result<(), Failure> {
    let count = stage.run.nodes;
    let few = (count / 3).max(1);
    stage.fault(Doing::Part(Ends { from: nodes(0..few), to: nodes(few..count) })).await?;
    let side = |node: usize| if node < few { few } else { count - few };
    let is_side = |node: usize, alive: u64| alive == side(node) as u64;
    let parted = all_show(&stage.folder, 0..count, ALIVE, is_side, BOUND).await?;
    stage.tell(Value::less_is_better("agreement of both sides after a partition, s", parted));
    stage.pass(2.0).await;
    stage.fault(Doing::Heal).await?;
    let healed = all_agree(stage).await?;
    stage.tell(Value::less_is_better("agreement after a heal, s", healed));
    Ok(())
}
