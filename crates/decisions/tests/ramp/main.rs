//! Rule four over a fleet: what reaches servers that have just started, summed over all nodes.
//!
//! Many instances of the module play in virtual time, each with its own events only, before servers that queue, clients
//! that come again, hedges, and a list that tells each node of the starts at another time. Of what reaches a server that
//! warms up the work is summed over all nodes in every window of the settings' length. It bears N + 2 root N + 2 requests
//! of mean work, N being what the settings allow it then, and is pushed over by more if over two thirds of that came
//! from nodes that had been told.

#[path = "../common/mod.rs"]
mod common;

mod servers;
mod site;
mod world;

use site::Site;
use world::play;

/// None is pushed over, and those who know do not use up what it bears.
fn holds(name: &str, site: &Site) {
    let seen = play(site, 1);
    assert!(seen.pushed_over == 0 && seen.most_informed <= 1.0, "{name}: {seen:.2?}\n{site:?}");
    // It is not kept by sending nothing there.
    assert!(seen.used > 0.1 && seen.served * 2 > seen.requests, "{name}: {seen:.2?}");
}

/// A few of the servers start anew, half of them, and nine in ten; told late and unlike; thin and heavy traffic; with
/// and without hints of the work.
fn all_hold(nodes: u32, servers: u64) {
    let site = Site { nodes, servers, ..Site::default() };
    for cold in [servers.div_ceil(20), servers / 2, servers * 9 / 10] {
        holds("usual", &Site { cold, ..site.clone() });
    }
    let half = Site { cold: servers / 2, ..site };
    holds("told late", &Site { told_within: 4.0, ..half.clone() });
    holds("thin", &Site { load: 0.2, ..half.clone() });
    holds("heavy", &Site { load: 0.85, ..half.clone() });
    holds("no hints", &Site { hints: false, ..half });
}

#[test]
fn servers_that_warm_up_bear_what_5_nodes_send() {
    all_hold(5, 12);
}

#[test]
fn servers_that_warm_up_bear_what_20_nodes_send() {
    all_hold(20, 24);
}

/// Nearly all start anew at once, and the few that are warm are at their limits.
#[test]
fn servers_that_warm_up_bear_what_30_nodes_send() {
    holds("nine in ten", &Site { nodes: 30, servers: 60, cold: 54, ..Site::default() });
}

/// Each sees a few requests a second, and of a key that all ask for none sees that it is too much for its home.
#[test]
fn servers_that_warm_up_bear_what_300_thin_nodes_send() {
    let site = Site { nodes: 300, servers: 100, cold: 60, ..Site::default() };
    holds("usual", &site);
    holds("all restarted just before", &Site { young: Some(4.0), ..site });
}
