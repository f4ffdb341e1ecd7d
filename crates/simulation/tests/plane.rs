//! Nodes with a plane: what they find comes to the others over the world's network, and nothing of it without.

use std::sync::{Arc, Mutex};

use hallpin_balancer::{Action, Event, FleetUpdate, Seconds};
use hallpin_simulation::plane::{Switch, Tally};
use hallpin_simulation::policy::{self, Policy, Sight};
use hallpin_simulation::referee::{Referee, Verdict};
use hallpin_simulation::scenario::Scenario;
use hallpin_simulation::time::Time;
use hallpin_simulation::trace::{Event as Seen, Sink};
use hallpin_simulation::world::World;

/// The module, with an ear for what its plane tells it.
struct Heard {
    inner: Box<dyn Policy>,
    accusations: Arc<Mutex<usize>>,
}

impl Policy for Heard {
    fn handle(&mut self, now: Seconds, event: Event, world: &dyn Sight, actions: &mut Vec<Action>) {
        if let Event::Fleet(FleetUpdate::Servers(servers)) = &event {
            *self.accusations.lock().expect("a count") += servers.iter().filter(|s| s.silent > 0).count();
        }
        self.inner.handle(now, event, world, actions);
    }
}

/// What happened on a day of 12 s with 8 nodes, what was counted, and how often peers accused a box at a node.
fn play(rest: &str, seed: u64, switch: Switch) -> (String, Verdict, Tally, usize) {
    let text = format!("version = 1\nlength = \"12s\"\n[nodes]\ncount = 8\n[clients]\nrate = 150.0\n{rest}");
    let day = Scenario::parse(&text).expect("a scenario").draw(seed).expect("a day");
    let accusations = Arc::new(Mutex::new(0));
    let start = |settings, seed| {
        let inner = policy::module(settings, seed)?;
        Ok(Box::new(Heard { inner, accusations: accusations.clone() }) as Box<dyn Policy>)
    };
    let (mut events, mut referee) = (String::new(), Referee::new(&day));
    let sink = |at: Time, event: &Seen| {
        events += &format!("{at:?} {event:?}\n");
        referee.record(at, event);
    };
    let world = World::new(&day, &start, sink).expect("a world").with_plane(switch).expect("a plane");
    let tally = world.run().tally;
    let accusations = *accusations.lock().expect("a count");
    (events, referee.verdict(), tally, accusations)
}

const SILENT: &str = "[[incidents]]\nkind = \"silent\"\nat = \"4s\"\nlasts = \"5s\"\npart = 0.3\n";
const MIXED: &str = "[[incidents]]\nkind = \"node-restart\"\nat = \"3s\"\npart = 0.5\neach = \"100ms\"\n\
    [[incidents]]\nkind = \"replace\"\nat = \"5s\"\nlasts = \"1s\"\npart = 0.3\n";

#[test]
fn what_one_finds_of_a_silent_box_comes_to_the_others_and_not_where_datagrams_are_lost() {
    let (_, verdict, tally, accusations) = play(SILENT, 1, Switch::Peers);
    assert!(verdict.is_clean() && tally.datagrams > 1000 && tally.unanswered > 0, "{tally:?}");
    assert!(accusations > 0, "nobody was told");
    let lost = format!("[network]\nmessage_loss = 1.0\n{SILENT}");
    let (_, _, tally, accusations) = play(&lost, 1, Switch::Peers);
    assert_eq!((tally.datagrams > 0, accusations), (true, 0), "what is lost on the way is not heard");
    let (_, _, tally, accusations) = play(SILENT, 1, Switch::Off);
    assert_eq!((tally.datagrams, accusations), (0, 0), "off");
}

#[test]
fn a_day_is_alike_each_time_and_all_come_to_place_by_each_list() {
    for seed in [1] {
        for switch in [Switch::Off, Switch::Peers, Switch::Table] {
            let (one, verdict, tally, _) = play(MIXED, seed, switch);
            let (two, ..) = play(MIXED, seed, switch);
            assert!(one == two, "seed {seed}, {switch:?}");
            assert!(verdict.is_clean(), "seed {seed}, {switch:?}: {:?}", verdict.breaches);
            assert!(!tally.spreads.is_empty(), "the list changed");
            let late = tally.spreads.iter().filter(|spread| spread.all.is_none()).count();
            assert_eq!(late, 0, "seed {seed}, {switch:?}: {:?}", tally.spreads);
        }
    }
}
