//! Cost of the control plane under steady load, and time until the nodes agree after a crash and after a partition
//! heals.
//!
//! Agreement is read from the metric `app_peers_alive`, polled at each node; datagrams are counted by the relay.

use std::time::Duration;

use hallpin_fault_harness::relay::Site;
use hallpin_fault_harness::spec::{Action, Ends, StateFolderChange};
use hallpin_fault_harness::trace::{Event, Record};
use hallpin_simulation::time::Time;

use crate::metrics::Value;
use crate::poll::{processor_time, wait_all_report};
use crate::run::{nodes, Bench, Failure};

const PEERS_ALIVE_METRIC: &str = "app_peers_alive";
/// Timeout for agreement; a longer time is reported as never.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(20);

pub async fn play(bench: &mut Bench) -> Result<(), Failure> {
    let count = bench.run.nodes;
    bench.harness.start_load();
    if bench.run.control_plane_on {
        all_agree(bench).await?;
    }
    bench.elapse(3.0).await;
    steady(bench).await?;
    if bench.run.control_plane_on {
        let victim = usize::try_from(bench.run.seed).unwrap_or(0) % count;
        crash(bench, victim).await?;
        bench.inject(Action::Start { nodes: nodes([victim]), state: StateFolderChange::Kept }).await?;
        all_agree(bench).await?;
        bench.elapse(2.0).await;
        heal(bench).await?;
    }
    Ok(bench.harness.drain_load().await?)
}

/// Waits until every node sees all nodes alive, and returns how long that took.
async fn all_agree(bench: &Bench) -> Result<Option<f64>, Failure> {
    let all = bench.run.nodes as u64;
    Ok(wait_all_report(
        &bench.folder,
        0..bench.run.nodes,
        PEERS_ALIVE_METRIC,
        |_, alive| alive == all,
        AGREEMENT_TIMEOUT,
    )
    .await?)
}

fn datagrams(
    records: &[Record],
    (from, to): (Time, Time),
    is_counted: impl Fn(Site, Site) -> bool,
) -> (u64, u64) {
    let within = records.iter().filter(|record| (from..to).contains(&record.at));
    within.fold((0, 0), |(number, sum), record| match record.event {
        Event::Datagram { from, to, bytes, .. } if is_counted(from, to) => (number + 1, sum + bytes as u64),
        _ => (number, sum),
    })
}

/// Processor time, datagrams and bytes per node and second.
async fn steady(bench: &mut Bench) -> Result<(), Failure> {
    let used =
        |bench: &Bench| bench.processes().into_iter().map(processor_time).sum::<std::io::Result<f64>>();
    let before = used(bench)?;
    let window = bench.elapse(6.0).await;
    let spent = used(bench)? - before;
    let each = bench.run.nodes as f64 * window.1.since(window.0).as_secs();
    let (number, bytes) = datagrams(&bench.records(), window, |_, _| true);
    bench.report(Value::less_is_better("processor of a node, % of a core", 100.0 * spent / each));
    bench.report(Value::less_is_better("datagrams a node and second", number as f64 / each));
    bench.report(Value::less_is_better("bytes a node and second", bytes as f64 / each));
    Ok(())
}

async fn crash(bench: &mut Bench, victim: usize) -> Result<(), Failure> {
    let count = bench.run.nodes;
    let datagrams_to_victim = |bench: &Bench, window: (Time, Time)| {
        let (number, _) = datagrams(&bench.records(), window, |_, to| to == Site::Node(victim));
        number as f64 / window.1.since(window.0).as_secs() / (count - 1) as f64
    };
    let before = datagrams_to_victim(bench, bench.elapse(2.0).await);
    bench.inject(Action::Kill(nodes([victim]))).await?;
    let remaining = (0..count).filter(|node| *node != victim);
    let took = wait_all_report(
        &bench.folder,
        remaining,
        PEERS_ALIVE_METRIC,
        |_, alive| alive == count as u64 - 1,
        AGREEMENT_TIMEOUT,
    )
    .await?;
    bench.report(Value::less_is_better("agreement after a crash, s", took));
    let after = datagrams_to_victim(bench, bench.elapse(2.0).await);
    bench.report(Value::less_is_better("datagrams to the dead of a node and second, before", before));
    let later = datagrams_to_victim(bench, bench.elapse(3.0).await);
    bench.report(Value::less_is_better(
        "datagrams to the dead of a node and second, in 2 s once agreed",
        after,
    ));
    bench.report(Value::less_is_better(
        "datagrams to the dead of a node and second, in 3 s after those",
        later,
    ));
    Ok(())
}

/// Partitions a third of the nodes from the others until both sides agree on that and for two more seconds, then heals.
async fn heal(bench: &mut Bench) -> Result<(), Failure> {
    let count = bench.run.nodes;
    let minority_count = (count / 3).max(1);
    bench
        .inject(Action::Part(Ends { from: nodes(0..minority_count), to: nodes(minority_count..count) }))
        .await?;
    let side = |node: usize| if node < minority_count { minority_count } else { count - minority_count };
    let is_side = |node: usize, alive: u64| alive == side(node) as u64;
    let partitioned =
        wait_all_report(&bench.folder, 0..count, PEERS_ALIVE_METRIC, is_side, AGREEMENT_TIMEOUT).await?;
    bench.report(Value::less_is_better("agreement of both sides after a partition, s", partitioned));
    bench.elapse(2.0).await;
    bench.inject(Action::Heal).await?;
    let healed = all_agree(bench).await?;
    bench.report(Value::less_is_better("agreement after a heal, s", healed));
    Ok(())
}
