//! Draws the parameters of a run from a scenario's ranges.

mod boxes;
mod incidents;

use super::{ClassFile, InvalidField, Scenario, TenantFile};
use crate::cache_box::BoxSpec;
use crate::planner::PlannerSpec;
use crate::random::{RandomStream, Spread};
use crate::run_spec::{
    mean_work, ClassSpec, ClientsSpec, GoalSpec, KeysSpec, ListSpec, NetworkSpec, NodeTimings, PricesSpec,
    RulesSpec, RunSpec, ScheduledFault, TenantSpec,
};
use crate::time::{Span, Time};
use boxes::KindValues;
use incidents::DrawnRun;

/// Allowed excess of an attempt's wait time over its client's remaining time.
const WAIT_SLACK: Span = Span::from_millis(150);

impl Scenario {
    /// Draws the parameters of the run with this seed.
    ///
    /// # Errors
    /// If [`Scenario::check`] fails.
    pub fn draw(&self, seed: u64) -> Result<RunSpec, InvalidField> {
        self.check()?;
        let mut rng = RandomStream::new(seed, "day");
        let length = self.length.draw(&mut rng);
        let nodes = self.nodes.count.draw(&mut rng) as usize;
        let unlike = self.nodes.unlike.draw(&mut rng);
        let shares = (0..nodes).map(|_| rng.spread(Spread::LogNormal, 1.0, unlike)).collect();
        let depots = self.depots.len();
        let mut boxes = Vec::new();
        for kind in &self.boxes {
            let kind_values = KindValues::draw(kind, &mut rng);
            for _ in 0..kind.count.draw(&mut rng) {
                let index = boxes.len();
                boxes.push(self.draw_box(kind, &kind_values, index, &mut rng));
            }
        }
        let running: Vec<usize> = (0..boxes.len()).collect();
        let mut drawn = DrawnRun {
            length,
            nodes,
            running: running.len(),
            boxes,
            incidents: Vec::new(),
            silences: Vec::new(),
        };
        for (n, file) in self.incidents.iter().enumerate() {
            // Each fault event has its own random stream, so that adding one doesn't change the others.
            let mut incident_rng = RandomStream::new(seed, &format!("incident {n}"));
            self.draw_incident(file, &mut drawn, &mut incident_rng);
        }
        let DrawnRun { mut boxes, mut incidents, mut silences, .. } = drawn;
        incidents.sort_by_key(|i: &ScheduledFault| i.at);
        silences.sort_by_key(|s| s.at);
        let window = self.classes.iter().map(|class| class.window).max().unwrap_or_default();
        let keys = self.draw_keys(&mut rng);
        let planner = self.draw_planner(window, &mut rng);
        let list = ListSpec {
            add: self.list.add.draw(&mut rng),
            notice: self.list.notice.draw(&mut rng),
            silent_detection_delay: self.list.silent_notice.draw(&mut rng),
            spread: self.list.spread.draw(&mut rng),
        };
        let network = self.draw_network(&mut rng);
        let classes: Vec<ClassSpec> = self.classes.iter().map(|class| draw_class(class, &mut rng)).collect();
        boxes.iter_mut().for_each(|b| b.mean_work = mean_work(&classes));
        Ok(RunSpec {
            name: self.name.clone(),
            seed,
            length,
            depots: self.depots.clone(),
            nodes: (0..nodes).map(|n| n % depots).collect(),
            node_timings: NodeTimings { parting: self.nodes.parting, reopens: self.nodes.reopens },
            planner,
            list,
            network,
            classes,
            tenants: self.tenants.iter().map(|t| draw_tenant(t, &mut rng)).collect(),
            clients: self.draw_clients(shares, &mut rng),
            keys,
            rules: self.rules(&boxes),
            limits: self.limits.clone(),
            goal: self.goal(),
            running,
            boxes,
            fault_events: incidents,
            watch_silences: silences,
        })
    }

    fn draw_planner(&self, repeat_window: Span, rng: &mut RandomStream) -> PlannerSpec {
        let file = &self.planner;
        PlannerSpec {
            places: file.places.draw(rng),
            time: file.time.draw(rng),
            cv: file.cv.draw(rng),
            write_times: file.write_times.draw(rng),
            queue: file.queue.draw(rng),
            thrash: file.thrash.draw(rng),
            fall_multiple: file.fall_multiple,
            fall_for: file.fall_for,
            down_for: file.down_for.draw(rng),
            stops: file.stops,
            repeat_window,
        }
    }

    fn draw_network(&self, rng: &mut RandomStream) -> NetworkSpec {
        let file = &self.network;
        NetworkSpec {
            same: file.same.draw(rng),
            cross: file.cross.draw(rng),
            client: file.client.draw(rng),
            jitter: file.jitter.draw(rng),
            handshake_rtts: file.handshake_rtts.draw(rng),
            message: file.message.draw(rng),
            message_loss: file.message_loss.draw(rng),
        }
    }

    fn draw_clients(&self, node_shares: Vec<f64>, rng: &mut RandomStream) -> ClientsSpec {
        let file = &self.clients;
        let mut curve: Vec<(Time, f64)> = file.curve.iter().map(|p| (Time::ZERO + p.at, p.times)).collect();
        curve.sort_by_key(|(at, _)| *at);
        ClientsSpec {
            rate: file.rate.draw(rng),
            curve,
            node_shares,
            entry: file.entry,
            front_detection_delay: file.front_notice.draw(rng),
            retries: file.retries.draw(rng),
            try_share: file.try_share.draw(rng),
            backoff: file.backoff.draw(rng),
            honours: file.honours.draw(rng),
            max_retry_after: file.most_advice,
            abandons: file.abandons.draw(rng),
            hint_noise: Some(file.hint_noise.draw(rng)).filter(|_| file.hints),
            attempt_noise: file.attempt_noise.draw(rng),
        }
    }

    fn draw_keys(&self, rng: &mut RandomStream) -> KeysSpec {
        let file = &self.keys;
        let count = file.count.draw(rng);
        KeysSpec {
            count,
            zipf: file.zipf.draw(rng),
            offset: file.offset.draw(rng),
            drift: file.drift.draw(rng),
            changes: file.changes.draw(rng) * f64::from(count),
            bytes: file.size.draw(rng).0 as f64,
            bytes_cv: file.size_cv.draw(rng),
        }
    }

    /// Returns the rules as nodes receive them, with the smallest initial capacity share and the longest ramp of any
    /// box.
    fn rules(&self, boxes: &[BoxSpec]) -> RulesSpec {
        RulesSpec {
            answer_grace: self.rules.answer_grace,
            drain_grace: self.rules.drain_grace,
            cold_from: boxes.iter().map(|b| b.cold_from).fold(1.0, f64::min),
            ramp: boxes.iter().map(|b| b.ramp).max().unwrap_or_default(),
            fall_multiple: self.rules.fall_multiple,
            fall_for: self.rules.fall_for,
            planner_multiple: self.planner.fall_multiple,
            planner_for: self.planner.fall_for,
            disconnects_cross: false,
            wait_slack: WAIT_SLACK,
            unseen: Span::ZERO,
        }
    }

    fn goal(&self) -> GoalSpec {
        let file = &self.goal;
        GoalSpec {
            whole: file.whole,
            worst_window: file.worst_window,
            worst_class: file.worst_class,
            worst_tenant: file.worst_tenant,
            over_share_worth: file.over_share_worth,
            by_work: file.by_work,
            prices: PricesSpec {
                waste: file.waste,
                late_fail: file.late_fail,
                handshake: file.handshake,
                connection: file.connection,
                probe: file.probe,
                peer: file.peer,
                cross_zone: file.cross_zone,
                list: file.list,
            },
        }
    }
}

fn draw_class(file: &ClassFile, rng: &mut RandomStream) -> ClassSpec {
    ClassSpec {
        name: file.name.clone(),
        share: file.share.draw(rng),
        work: file.work.draw(rng),
        spread: file.spread,
        cv: file.cv.draw(rng),
        aim: file.aim,
        deadline: file.deadline,
        worth: file.worth,
        late_worth: file.late_worth,
        effect: file.effect,
        window: file.window,
        write: file.write,
    }
}

fn draw_tenant(file: &TenantFile, rng: &mut RandomStream) -> TenantSpec {
    TenantSpec { name: file.name.clone(), share: file.share, quota: file.quota, usage: file.usage.draw(rng) }
}
