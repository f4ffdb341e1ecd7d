//! Probes of an ejected server that is warming up by reads, where health checks are not allowed: their number
//! over all nodes.

use hallpin_balancer::*;

use crate::common::{entry, id, read, sent, Node};
use crate::site::Site;

const SERVERS: u64 = 12;
/// Requests a second that each node sees.
const RATE: u64 = 5;

fn took_out(actions: &[Action]) -> bool {
    let out = |a: &Action| matches!(a, Action::Log(text) if text.contains("taken out"));
    actions.iter().any(out)
}

/// A node that has ejected server 1, which started at this moment, because reads found no connection to it.
fn node_without_server_one(site: &Site, seed: u64) -> Node {
    let mut settings = site.settings();
    settings.limits.probes = false;
    let started = |n| RosterEntry { started: (n == 1).then_some(100.0), ..entry(n) };
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
        if took_out(&actions) {
            return node;
        }
    }
    panic!("server 1 was not taken out");
}

/// Reads that probed server 1, by the second, over all nodes, until some seconds after it is warm.
fn trials_by_second(site: &Site) -> Vec<usize> {
    let mut nodes: Vec<Node> =
        (0..u64::from(site.nodes)).map(|seed| node_without_server_one(site, seed)).collect();
    let seconds = site.guarantees.ramp as u64 + 4;
    let mut request = 1_000_000;
    let mut try_all = || {
        let mut trials = 0;
        for node in &mut nodes {
            for _ in 0..RATE {
                node.pass(1.0 / RATE as f64);
                request += 1;
                let to = sent(&node.request(read(request, request)));
                if to == [id(1)] {
                    trials += 1;
                    let further = sent(&node.outcome(request, Status::Unreachable, None));
                    further.iter().for_each(|_| drop(node.serve(request)));
                } else {
                    to.iter().for_each(|_| drop(node.serve(request)));
                }
            }
        }
        trials
    };
    (0..seconds).map(|_| try_all()).collect()
}

#[test]
fn an_ejected_server_that_warms_up_is_tried_a_few_times_a_second_by_all_nodes_together() {
    for nodes in [3, 30, 300] {
        let site = Site { nodes, ..Site::default() };
        let trials = trials_by_second(&site);
        let ramp = site.guarantees.ramp as usize;
        let cold = &trials[..ramp - 1];
        let window = site.guarantees.fall_for as usize;
        let most =
            cold.windows(window).map(|seconds| seconds.iter().sum::<usize>()).max().unwrap_or_default();
        assert!(most as f64 * site.work < site.bears(0.0), "{nodes} nodes: {most} in {window} s: {trials:?}");
        let in_all: usize = cold.iter().sum();
        assert!(in_all >= ramp, "{nodes} nodes: recovery is looked for: {trials:?}");
        // Once the server must be warm, each node probes it on its own.
        let warm: usize = trials[ramp..].iter().sum();
        assert!(warm >= 2 * nodes as usize, "{nodes} nodes: {trials:?}");
    }
}
