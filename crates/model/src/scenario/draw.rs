//! A day drawn from a scenario's ranges.

use super::{s, BoxKind, ClassFile, IncidentFile, IncidentKind, Scenario, TenantFile, Wrong};
use crate::cache_box::BoxSpec;
use crate::chance::{Chance, Spread};
use crate::day::{
    ClassSpec, ClientsSpec, Day, GoalSpec, Haste, Incident, KeysSpec, ListSpec, NetworkSpec, PricesSpec,
    RulesSpec, Scheduled, TenantSpec,
};
use crate::planner::PlannerSpec;
use crate::range::Range;
use crate::time::{Span, Time};

/// What of a day is drawn when its incidents are.
struct Drawn {
    length: Span,
    nodes: usize,
    /// Boxes that run when it begins, the first of all.
    running: usize,
    boxes: Vec<BoxSpec>,
    incidents: Vec<Scheduled>,
}

/// Who is struck, of these: so many, or a share of them, or all of a depot.
fn struck(
    many: Option<Range<u32>>,
    part: Option<Range<f64>>,
    depot: Option<usize>,
    of: &[usize],
    c: &mut Chance,
) -> Vec<usize> {
    let by_part = part.map(|part| (part.draw(c) * of.len() as f64).round().max(1.0) as usize);
    let many = match (many, by_part) {
        (Some(many), _) => many.draw(c) as usize,
        (None, Some(many)) => many,
        (None, None) if depot.is_some() => of.len(),
        (None, None) => 0,
    };
    c.some(many, of.len()).into_iter().map(|n| of[n]).collect()
}

/// Those struck, in the groups in which they are, and how long after the first.
fn dealt(struck: Vec<usize>, each: Option<Span>, steps: Option<u32>) -> Vec<(Span, Vec<usize>)> {
    let Some(each) = each else { return vec![(Span::ZERO, struck)] };
    let size = steps.map_or(1, |steps| struck.len().div_ceil(steps.max(1) as usize)).max(1);
    struck.chunks(size).enumerate().map(|(n, group)| (each * n as f64, group.to_vec())).collect()
}

impl Scenario {
    /// The day of this seed.
    ///
    /// # Errors
    /// Where the scenario makes no sense.
    pub fn draw(&self, seed: u64) -> Result<Day, Wrong> {
        self.check()?;
        let mut c = Chance::new(seed, "day");
        let length = self.length.draw(&mut c);
        let nodes = self.nodes.count.draw(&mut c) as usize;
        let unlike = self.nodes.unlike.draw(&mut c);
        let shares = (0..nodes).map(|_| c.spread(Spread::LogNormal, 1.0, unlike)).collect();
        let depots = self.depots.len();
        let mut boxes = Vec::new();
        for kind in &self.boxes {
            let day = KindOfDay::draw(kind, &mut c);
            for _ in 0..kind.count.draw(&mut c) {
                let at = boxes.len();
                boxes.push(self.draw_box(kind, &day, at, &mut c));
            }
        }
        let running: Vec<usize> = (0..boxes.len()).collect();
        let mut drawn = Drawn { length, nodes, running: running.len(), boxes, incidents: Vec::new() };
        for (n, file) in self.incidents.iter().enumerate() {
            // Each incident draws from a stream of its own, so that adding one leaves the others as they were.
            let mut chance = Chance::new(seed, &format!("incident {n}"));
            self.draw_incident(file, &mut drawn, &mut chance);
        }
        let Drawn { boxes, mut incidents, .. } = drawn;
        incidents.sort_by_key(|i: &Scheduled| i.at);
        let window = self.classes.iter().map(|c| c.window).max().unwrap_or_default();
        let keys = self.draw_keys(&mut c);
        Ok(Day {
            name: self.name.clone(),
            seed,
            length,
            depots: self.depots.clone(),
            nodes: (0..nodes).map(|n| n % depots).collect(),
            planner: self.draw_planner(window, &mut c),
            list: ListSpec {
                add: self.list.add.draw(&mut c),
                notice: self.list.notice.draw(&mut c),
                silent_notice: self.list.silent_notice.draw(&mut c),
                spread: self.list.spread.draw(&mut c),
            },
            network: self.draw_network(&mut c),
            classes: self.classes.iter().map(|class| draw_class(class, &mut c)).collect(),
            tenants: self.tenants.iter().map(|t| draw_tenant(t, &mut c)).collect(),
            clients: self.draw_clients(shares, &mut c),
            keys,
            rules: self.rules(&boxes),
            limits: self.limits.clone(),
            goal: self.goal(),
            running,
            boxes,
            incidents,
        })
    }

    fn draw_box(&self, kind: &BoxKind, day: &KindOfDay, at: usize, c: &mut Chance) -> BoxSpec {
        let cores = kind.cores.draw(c);
        let slots = (kind.slots_per_core.draw(c) * cores).round().max(1.0);
        BoxSpec {
            id: format!("box-{at:04}"),
            kind: kind.kind.clone(),
            depot: at % self.depots.len(),
            cell: (at / 4) as u64,
            size: kind.size,
            address: at as u32,
            cores,
            speed: kind.speed.draw(c),
            slots: slots as u32,
            waiting: (day.waiting_per_core * cores).round() as u32,
            crowd_from: kind.crowd_from.draw(c),
            crowd_loss: kind.crowd_loss.draw(c),
            connections: (kind.connections_per_core.draw(c) * cores).round() as u32,
            connection_work: day.connection_work,
            table_tax: day.table_tax,
            idle_close: day.idle_close,
            probe_work: day.probe_work,
            report_period: kind.report_period.draw(c),
            report_delay: kind.report_delay.draw(c),
            report_noise: kind.report_noise.draw(c),
            cold_from: day.cold_from,
            ramp: day.ramp,
            warm_by: kind.warm_by,
            fall_multiple: self.rules.fall_multiple,
            fall_for: self.rules.fall_for,
            memory: kind.memory.draw(c).0,
            evict: kind.evict,
            ttl: day.ttl,
            fetch_places: (day.fetches_per_slot * slots).round().max(1.0) as u32,
            fetch_timeout: day.fetch_timeout,
            fetch_retries: day.fetch_retries,
            joins: kind.joins,
            miss_holds: day.miss_holds,
            miss_extra: kind.miss_extra.draw(c),
            drops_cancelled: day.drops_cancelled,
            drops_expired: kind.drops_expired,
            error_rate: kind.error_rate.draw(c),
        }
    }

    fn draw_planner(&self, repeat_window: Span, c: &mut Chance) -> PlannerSpec {
        let file = &self.planner;
        PlannerSpec {
            places: file.places.draw(c),
            time: file.time.draw(c),
            cv: file.cv.draw(c),
            write_times: file.write_times.draw(c),
            queue: file.queue.draw(c),
            thrash: file.thrash.draw(c),
            fall_multiple: file.fall_multiple,
            fall_for: file.fall_for,
            down_for: file.down_for.draw(c),
            stops: file.stops,
            repeat_window,
        }
    }

    fn draw_network(&self, c: &mut Chance) -> NetworkSpec {
        let file = &self.network;
        NetworkSpec {
            same: file.same.draw(c),
            cross: file.cross.draw(c),
            client: file.client.draw(c),
            jitter: file.jitter.draw(c),
            handshake_rtts: file.handshake_rtts.draw(c),
            message: file.message.draw(c),
            message_loss: file.message_loss.draw(c),
        }
    }

    fn draw_clients(&self, node_shares: Vec<f64>, c: &mut Chance) -> ClientsSpec {
        let file = &self.clients;
        let mut curve: Vec<(Time, f64)> = file.curve.iter().map(|p| (Time::ZERO + p.at, p.times)).collect();
        curve.sort_by_key(|(at, _)| *at);
        ClientsSpec {
            rate: file.rate.draw(c),
            curve,
            node_shares,
            entry: file.entry,
            front_notice: file.front_notice.draw(c),
            retries: file.retries.draw(c),
            try_share: file.try_share.draw(c),
            backoff: file.backoff.draw(c),
            honours: file.honours.draw(c),
            most_advice: file.most_advice,
            abandons: file.abandons.draw(c),
            hint_noise: Some(file.hint_noise.draw(c)).filter(|_| file.hints),
            attempt_noise: file.attempt_noise.draw(c),
        }
    }

    fn draw_keys(&self, c: &mut Chance) -> KeysSpec {
        let file = &self.keys;
        let count = file.count.draw(c);
        KeysSpec {
            count,
            zipf: file.zipf.draw(c),
            offset: file.offset.draw(c),
            drift: file.drift.draw(c),
            changes: file.changes.draw(c) * f64::from(count),
            bytes: file.size.draw(c).0 as f64,
            bytes_cv: file.size_cv.draw(c),
        }
    }

    /// What nodes are told of the rules: the least that any box of the day starts with, and the longest ramp.
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

    fn draw_incident(&self, file: &IncidentFile, day: &mut Drawn, c: &mut Chance) {
        let happens = c.unit() < file.chance.unwrap_or(1.0);
        let at = Time::ZERO + file.at.draw(c);
        let lasts = file.lasts.map(|lasts| lasts.draw(c));
        let depot = file.depot.as_ref().map(|name| self.draw_depot(name, c));
        let strikes_boxes = |n: &usize| depot.is_none_or(|d| day.boxes[*n].depot == d);
        let of_boxes: Vec<usize> = (0..day.running).filter(strikes_boxes).collect();
        let struck_boxes = match file.kind {
            IncidentKind::Join => Vec::new(),
            kind if kind.strikes_boxes() => struck(file.boxes, file.part, depot, &of_boxes, c),
            _ => Vec::new(),
        };
        let of_nodes: Vec<usize> =
            (0..day.nodes).filter(|n| depot.is_none_or(|d| n % self.depots.len() == d)).collect();
        let struck_nodes = match file.kind.strikes_nodes() {
            true => struck(file.nodes, file.part, depot, &of_nodes, c),
            false => Vec::new(),
        };
        let factor = file.factor.map_or(1.0, |factor| factor.draw(c));
        let share = file.share.map_or(0.0, |share| share.draw(c));
        let keys = file.keys.map_or(0, |keys| keys.draw(c));
        if !happens {
            return;
        }
        let rest = lasts.unwrap_or(day.length + s(3600));
        let mut add = |at, lasts, incident| day.incidents.push(Scheduled { at, lasts, incident });
        let dealt = |struck: Vec<usize>| dealt(struck, file.each, file.steps);
        match file.kind {
            IncidentKind::Silent => add(at, rest, Incident::Silent(struck_boxes)),
            IncidentKind::Slow => add(at, rest, Incident::Slow(struck_boxes, factor)),
            IncidentKind::Erring => add(at, rest, Incident::Erring(struck_boxes, share)),
            IncidentKind::Kill => {
                for (after, group) in dealt(struck_boxes) {
                    add(at + after, rest, Incident::Kill(group));
                }
            }
            IncidentKind::Heavy => {
                let named = |class: &ClassFile| Some(&class.name) == file.class.as_ref();
                let class = self.classes.iter().position(named).unwrap_or(0);
                add(at, rest, Incident::Heavy { class, share, factor });
            }
            IncidentKind::NodeDeath => {
                for (after, group) in dealt(struck_nodes) {
                    add(at + after, rest, Incident::NodeDeath(group));
                }
            }
            IncidentKind::NodeRestart => {
                for (after, group) in dealt(struck_nodes) {
                    add(at + after, rest, Incident::NodeRestart(group));
                }
            }
            IncidentKind::ListOutage => add(at, rest, Incident::ListOutage),
            IncidentKind::LateList => {
                let by = file.by.map_or(Span::ZERO, |by| by.draw(c));
                add(at, rest, Incident::LateList { depot, by });
            }
            IncidentKind::PlannerSlow => add(at, rest, Incident::PlannerSlow(factor)),
            IncidentKind::PlannerSilent => add(at, rest, Incident::PlannerSilent),
            IncidentKind::LostAnswers => add(at, rest, Incident::LostAnswers(share)),
            IncidentKind::Resets => add(at, rest, Incident::Resets(share)),
            IncidentKind::LostMessages => add(at, rest, Incident::LostMessages(share)),
            IncidentKind::Shift => {
                add(at, rest, Incident::Shift { depot: depot.unwrap_or(0), factor });
            }
            IncidentKind::Impatient => add(at, rest, Incident::Impatient { share, hurry: factor }),
            IncidentKind::Hasty => {
                let gives = file.by.map_or(Span::ZERO, |by| by.draw(c));
                add(at, rest, Incident::Hasty(Haste { share, gives, again: file.rounds.unwrap_or(8) }));
            }
            IncidentKind::Partition | IncidentKind::CutOff => {
                add(at, rest, Incident::Partition(self.cut(file, depot)));
            }
            IncidentKind::Drain => add(at, rest, Incident::Drain(struck_boxes)),
            IncidentKind::Join => {
                let many = file.boxes.map_or(0, |many| many.draw(c));
                let joining = (0..many).map(|_| self.another(&mut day.boxes, None, c)).collect();
                add(at, Span::ZERO, Incident::Join(joining));
            }
            IncidentKind::Replace => {
                let (mut struck, mut begins) = (struck_boxes, at);
                for _ in 0..file.rounds.unwrap_or(1) {
                    let mut joined = Vec::new();
                    let groups = dealt(struck);
                    let last = groups.last().map_or(Span::ZERO, |(after, _)| *after);
                    for (after, group) in groups {
                        let replacing = |old: &usize| self.replacement(file, *old, &mut day.boxes, c);
                        let joining: Vec<usize> = group.iter().map(replacing).collect();
                        joined.extend(&joining);
                        add(begins + after, rest, Incident::Drain(group));
                        add(begins + after + rest, Span::ZERO, Incident::Join(joining));
                    }
                    // The first of the new ones drains once the last has joined.
                    (struck, begins) =
                        (joined, begins + last + rest.max(file.each.unwrap_or_default()) + Span(1));
                }
            }
            IncidentKind::Burst => add(at, rest, Incident::Burst { factor, share, keys }),
        }
    }

    /// The number of a depot, or of any.
    fn draw_depot(&self, name: &str, c: &mut Chance) -> usize {
        let any = |c: &mut Chance| c.below(self.depots.len() as u64) as usize;
        self.depots.iter().position(|d| d == name).unwrap_or_else(|| any(c))
    }

    /// The ways between depots that are cut: from the first of each pair to the second.
    fn cut(&self, file: &IncidentFile, depot: Option<usize>) -> Vec<(usize, usize)> {
        let named = |name: &String| self.depots.iter().position(|d| d == name).unwrap_or(0);
        let out: Vec<(usize, usize)> = match (&file.depots, depot) {
            (Some([a, b]), _) => vec![(named(a), named(b))],
            (None, Some(from)) => {
                (0..self.depots.len()).filter(|to| *to != from).map(|to| (from, to)).collect()
            }
            (None, None) => Vec::new(),
        };
        let back = out.iter().map(|(from, to)| (*to, *from)).filter(|_| file.one_way != Some(true));
        out.iter().copied().chain(back).collect()
    }

    fn replacement(
        &self,
        file: &IncidentFile,
        old: usize,
        boxes: &mut Vec<BoxSpec>,
        c: &mut Chance,
    ) -> usize {
        let address = file.same_address.unwrap_or(false).then(|| boxes[old].address);
        let new = self.another(boxes, Some(old), c);
        // It takes the place of the old one, in its depot too.
        boxes[new].address = address.unwrap_or(boxes[new].address);
        new
    }

    /// One more box, of the kind of the one that it replaces, or of the first kind.
    fn another(&self, boxes: &mut Vec<BoxSpec>, like: Option<usize>, c: &mut Chance) -> usize {
        let named = |kind: &&BoxKind| like.is_some_and(|old| kind.kind == boxes[old].kind);
        let kind = self.boxes.iter().find(named).unwrap_or(&self.boxes[0]);
        let day = KindOfDay::draw(kind, c);
        let at = boxes.len();
        let spec = self.draw_box(kind, &day, at, c);
        boxes.push(spec);
        at
    }
}

/// What all boxes of a kind have in common on one day.
struct KindOfDay {
    waiting_per_core: f64,
    connection_work: Span,
    table_tax: f64,
    idle_close: Span,
    probe_work: Span,
    cold_from: f64,
    ramp: Span,
    ttl: Span,
    fetches_per_slot: f64,
    fetch_timeout: Span,
    fetch_retries: u32,
    miss_holds: bool,
    drops_cancelled: bool,
}

impl KindOfDay {
    fn draw(kind: &BoxKind, c: &mut Chance) -> Self {
        KindOfDay {
            waiting_per_core: kind.waiting_per_core.draw(c),
            connection_work: kind.connection_work.draw(c),
            table_tax: kind.table_tax.draw(c),
            idle_close: kind.idle_close.draw(c),
            probe_work: kind.probe_work.draw(c),
            cold_from: kind.cold_from.draw(c),
            ramp: kind.ramp.draw(c),
            ttl: kind.ttl.draw(c),
            fetches_per_slot: kind.fetches_per_slot.draw(c),
            fetch_timeout: kind.fetch_timeout.draw(c),
            fetch_retries: kind.fetch_retries.draw(c),
            miss_holds: c.unit() < kind.miss_holds,
            drops_cancelled: c.unit() < kind.drops_cancelled,
        }
    }
}

fn draw_class(file: &ClassFile, c: &mut Chance) -> ClassSpec {
    ClassSpec {
        name: file.name.clone(),
        share: file.share.draw(c),
        work: file.work.draw(c),
        spread: file.spread,
        cv: file.cv.draw(c),
        aim: file.aim,
        deadline: file.deadline,
        worth: file.worth,
        late_worth: file.late_worth,
        effect: file.effect,
        window: file.window,
        write: file.write,
    }
}

fn draw_tenant(file: &TenantFile, c: &mut Chance) -> TenantSpec {
    TenantSpec { name: file.name.clone(), share: file.share, quota: file.quota, usage: file.usage.draw(c) }
}
