//! Nodes with a control plane exchange their evidence about boxes over the simulated network; nodes without a
//! control plane do not.

use std::sync::{Arc, Mutex};

use hallpin_balancer::{Action, Event, FleetUpdate, Seconds};
use hallpin_simulation::invariants::{InvariantChecker, Verdict};
use hallpin_simulation::plane::{Switch, Tally};
use hallpin_simulation::policy::{self, Policy, WorldView};
use hallpin_simulation::scenario::Scenario;
use hallpin_simulation::time::Time;
use hallpin_simulation::trace::{Event as TraceEvent, Sink};
use hallpin_simulation::world::World;

/// The balancer module, wrapped to count the reports of silent boxes that the control plane gives it.
struct RecordingPolicy {
    inner: Box<dyn Policy>,
    silent_reports: Arc<Mutex<usize>>,
}

impl Policy for RecordingPolicy {
    fn handle(&mut self, now: Seconds, event: Event, world: &dyn WorldView, actions: &mut Vec<Action>) {
        if let Event::Fleet(FleetUpdate::Servers(servers)) = &event {
            *self.silent_reports.lock().expect("a count") += servers.iter().filter(|s| s.silent > 0).count();
        }
        self.inner.handle(now, event, world, actions);
    }
}

/// Runs a scenario of 12 s with 8 nodes; returns its events, verdict and tally, and the number of reports of
/// silent boxes that all nodes together got from peers.
fn run_scenario(extra_toml: &str, seed: u64, switch: Switch) -> (String, Verdict, Tally, usize) {
    let text =
        format!("version = 1\nlength = \"12s\"\n[nodes]\ncount = 8\n[clients]\nrate = 150.0\n{extra_toml}");
    let day = Scenario::parse(&text).expect("a scenario").draw(seed).expect("a drawn scenario");
    let silent_reports = Arc::new(Mutex::new(0));
    let start = |settings, seed| {
        let inner = policy::balancer_policy(settings, seed)?;
        Ok(Box::new(RecordingPolicy { inner, silent_reports: silent_reports.clone() }) as Box<dyn Policy>)
    };
    let (mut events, mut checker) = (String::new(), InvariantChecker::new(&day));
    let sink = |at: Time, event: &TraceEvent| {
        events += &format!("{at:?} {event:?}\n");
        checker.record(at, event);
    };
    let world = World::new(&day, &start, sink).expect("a world").with_plane(switch).expect("a plane");
    let tally = world.run().tally;
    let silent_reports = *silent_reports.lock().expect("a count");
    (events, checker.verdict(), tally, silent_reports)
}

const SILENT_BOXES: &str = "[[incidents]]\nkind = \"silent\"\nat = \"4s\"\nlasts = \"5s\"\npart = 0.3\n";
const RESTARTS_AND_REPLACEMENTS: &str =
    "[[incidents]]\nkind = \"node-restart\"\nat = \"3s\"\npart = 0.5\neach = \"100ms\"\n\
    [[incidents]]\nkind = \"replace\"\nat = \"5s\"\nlasts = \"1s\"\npart = 0.3\n";

#[test]
fn evidence_of_a_silent_box_reaches_other_nodes_unless_datagrams_are_lost() {
    let (_, verdict, tally, silent_reports) = run_scenario(SILENT_BOXES, 1, Switch::Peers);
    assert!(verdict.is_clean() && tally.datagrams > 1000 && tally.unanswered > 0, "{tally:?}");
    assert!(silent_reports > 0, "no node got a report of a silent box");
    let lossy = format!("[network]\nmessage_loss = 1.0\n{SILENT_BOXES}");
    let (_, _, tally, silent_reports) = run_scenario(&lossy, 1, Switch::Peers);
    assert_eq!((tally.datagrams > 0, silent_reports), (true, 0), "lost datagrams give no reports");
    let (_, _, tally, silent_reports) = run_scenario(SILENT_BOXES, 1, Switch::Off);
    assert_eq!((tally.datagrams, silent_reports), (0, 0), "the plane is off");
}

#[test]
fn runs_are_reproducible_and_all_nodes_adopt_each_list_revision() {
    for seed in [1] {
        for switch in [Switch::Off, Switch::Peers, Switch::Table] {
            let (first, verdict, tally, _) = run_scenario(RESTARTS_AND_REPLACEMENTS, seed, switch);
            let (second, ..) = run_scenario(RESTARTS_AND_REPLACEMENTS, seed, switch);
            assert!(first == second, "seed {seed}, {switch:?}");
            assert!(verdict.is_clean(), "seed {seed}, {switch:?}: {:?}", verdict.violations);
            assert!(!tally.spreads.is_empty(), "the list changed");
            let incomplete = tally.spreads.iter().filter(|spread| spread.all.is_none()).count();
            assert_eq!(incomplete, 0, "seed {seed}, {switch:?}: {:?}", tally.spreads);
        }
    }
}
