//! Probes of an ejected server that is warming up by reads, where health checks are not allowed: their number
//! over all nodes.

use hallpin_balancer::*;

use crate::common::{entry, id, read, sent, Node};
use crate::scenario::Scenario;

const SERVERS: u64 = 12;
/// Requests a second that each node sees.
const REQUESTS_PER_SECOND: u64 = 5;

fn is_ejection_logged(actions: &[Action]) -> bool {
    let out = |a: &Action| matches!(a, Action::Log(text) if text.contains("taken out"));
    actions.iter().any(out)
}

/// A node that has ejected server 1, which started at this moment, because reads found no connection to it.
fn node_without_server_one(scenario: &Scenario, seed: u64) -> Node {
    let mut settings = scenario.settings();
    settings.limits.health_checks = false;
    let started = |n| EndpointEntry { started: (n == 1).then_some(100.0), ..entry(n) };
    let mut node = Node::with(settings, seed, (1..=SERVERS).map(started).collect());
    for n in 0..20_000 {
        let first = sent(&node.request(read(n, n)));
        if first != [id(1)] {
            first.iter().for_each(|_| drop(node.serve(n)));
            continue;
        }
        let actions = node.outcome(n, Status::Unreachable, None);
        if !sent(&actions).is_empty() {
            node.serve(n);
        }
        if is_ejection_logged(&actions) {
            return node;
        }
    }
    panic!("server 1 was not ejected");
}

/// Number of reads in each second, over all nodes, that probed server 1, until 4 s after the slow start.
fn probes_by_second(scenario: &Scenario) -> Vec<usize> {
    let mut nodes: Vec<Node> =
        (0..u64::from(scenario.nodes)).map(|seed| node_without_server_one(scenario, seed)).collect();
    let seconds = scenario.guarantees.slow_start_duration as u64 + 4;
    let mut request = 1_000_000;
    let mut advance_one_second = || {
        let mut probes = 0;
        for node in &mut nodes {
            for _ in 0..REQUESTS_PER_SECOND {
                node.advance(1.0 / REQUESTS_PER_SECOND as f64);
                request += 1;
                let to = sent(&node.request(read(request, request)));
                if to == [id(1)] {
                    probes += 1;
                    let further = sent(&node.outcome(request, Status::Unreachable, None));
                    further.iter().for_each(|_| drop(node.serve(request)));
                } else {
                    to.iter().for_each(|_| drop(node.serve(request)));
                }
            }
        }
        probes
    };
    (0..seconds).map(|_| advance_one_second()).collect()
}

#[test]
fn an_ejected_warming_server_is_probed_a_few_times_a_second_by_all_nodes_together() {
    for nodes in [3, 30, 300] {
        let scenario = Scenario { nodes, ..Scenario::default() };
        let probes = probes_by_second(&scenario);
        let ramp = scenario.guarantees.slow_start_duration as usize;
        let cold = &probes[..ramp - 1];
        let window = scenario.guarantees.overload_window as usize;
        let peak_probes =
            cold.windows(window).map(|seconds| seconds.iter().sum::<usize>()).max().unwrap_or_default();
        assert!(
            peak_probes as f64 * scenario.work < scenario.sustainable_work(0.0),
            "{nodes} nodes: {peak_probes} in {window} s: {probes:?}"
        );
        let total: usize = cold.iter().sum();
        assert!(total >= ramp, "{nodes} nodes: too few probes to find a recovery: {probes:?}");
        // Once the slow start is over, each node probes the server without regard to the number of nodes.
        let warm: usize = probes[ramp..].iter().sum();
        assert!(warm >= 2 * nodes as usize, "{nodes} nodes: {probes:?}");
    }
}
