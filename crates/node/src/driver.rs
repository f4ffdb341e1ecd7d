//! Drives the balancer: owns its timers, its requests and their attempts. Events are handed to the balancer one at a
//! time, and the actions that it returns are executed at once.

mod attempts;
mod requests;
mod state;
#[cfg(test)]
mod tests;
mod timers;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use hallpin_balancer::*;
use hallpin_protocol as protocol;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep_until, Instant};
use tracing::info;

use crate::log::LogThrottle;
use crate::message::Message;
use crate::metrics::{MemberCounts, RequestOutcome};
use crate::roster::Roster;
use requests::NewCommand;
use state::Timer;
pub use state::{Driver, DriverContext};
use timers::{duration, SchedulingDelays, Timers};

impl Driver {
    pub fn new(settings: &Settings, seed: u64, context: DriverContext) -> Result<Self, SettingsError> {
        let DriverContext {
            clock,
            upstream,
            messages,
            poll_requests,
            lifecycle,
            metrics,
            opaque_ids,
            plane_runtime,
        } = context;
        let quantum = Duration::from_secs_f64(settings.event_interval);
        upstream.set_quantum(quantum);
        Ok(Driver {
            balancer: Balancer::new(settings.clone(), seed)?,
            clock,
            names: NameIndex::of(settings),
            max_attempts: settings.limits.max_attempts as usize,
            retry_windows: attempts::retry_windows(settings),
            sends_retry_after: settings.limits.retry_after,
            quantum,
            max_deadline: duration(settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max)),
            upstream,
            timers: Timers::default(),
            requests: HashMap::new(),
            opaque_ids,
            events: VecDeque::new(),
            event_time: Instant::now(),
            scheduling_delays: SchedulingDelays::default(),
            overdue_log: LogThrottle::default(),
            balancer_log: LogThrottle::default(),
            replaced_log: LogThrottle::default(),
            messages,
            poll_requests,
            lifecycle,
            metrics,
            plane_runtime,
        })
    }

    /// Remembers the locations of no more than `capacity` keys.
    pub fn limit_key_locations(&mut self, capacity: usize) {
        self.balancer.limit_key_locations(capacity);
    }

    /// Applies the list that the configuration gives as the last known; called before any request.
    pub fn load_cached_roster(&mut self, roster: Roster) {
        self.apply_roster(roster, EndpointUpdate::Cached);
    }

    /// Processes messages until the inbox closes. Lists from discovery go ahead of all other messages: a list is in
    /// force from its arrival, and requests queued before it would still be sent to servers that drain.
    pub async fn run(mut self, mut inbox: UnboundedReceiver<Message>, mut lists: UnboundedReceiver<Message>) {
        let mut phases = self.lifecycle.subscribe();
        loop {
            let next = self.timers.next_due();
            tokio::select! {
                biased;
                Some(list) = lists.recv() => self.handle_message(list),
                // Never fails: the driver holds the lifecycle that sends.
                Ok(()) = phases.changed() => {
                    let process_ends = phases.borrow_and_update().answer_deadline;
                    self.limit_deadlines(process_ends);
                }
                message = inbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {}
            }
            // Checked after each message, so that a flood of messages cannot keep timers from firing.
            let first = self.timers.next_due();
            if let Some(due) = first.filter(|at| *at <= Instant::now()) {
                // After a scheduling delay timers are due while answers are still unread. Messages are processed
                // first, or an attempt would time out although its answer has arrived.
                tokio::task::yield_now().await;
                for _ in 0..lists.len() + inbox.len() {
                    if let Ok(message) = lists.try_recv().or_else(|_| inbox.try_recv()) {
                        self.handle_message(message);
                    }
                }
                self.fire_due_timers();
                self.scheduling_delays.record(due, Instant::now());
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        self.event_time = Instant::now();
        match message {
            // The client disconnected while the request was queued: nothing is sent.
            Message::Request { id, command, at, gone, .. } if gone.is_set() => {
                let left = self.deadline(&command, at).saturating_duration_since(self.event_time);
                requests::log_withdrawn(id, &command, left);
            }
            Message::Request { id, command, at, admission, reply, gone, memory } => {
                self.start_request(NewCommand { id, command, at, admission, reply, gone, memory })
            }
            Message::ClientLeft(id) => {
                if self.take_reply(id).is_some() {
                    self.remember_opaque(id);
                    if let Some(active) = self.requests.get(&id) {
                        let left = active.deadline.saturating_duration_since(self.event_time);
                        requests::log_withdrawn(id, &active.command, left);
                    }
                    self.handle_event(Event::ClientLeft(id));
                    self.clean_up(id);
                }
            }
            Message::Ended { request, attempt, ended } => {
                self.complete_attempt(request, attempt, ended);
                self.process_events();
            }
            Message::HealthChecked { server, status } => {
                self.handle_event(Event::HealthChecked { server, status })
            }
            Message::Roster(roster) => {
                let update = if roster.complete { EndpointUpdate::Full } else { EndpointUpdate::Delta };
                self.apply_roster(roster, update);
            }
            Message::Members(reply) => {
                let (listed, unavailable) = self.balancer.member_counts();
                // Fails only if the operator's connection is closed, and then no answer is needed.
                let _ = reply.send(MemberCounts { listed, unavailable });
            }
            Message::Fleet(update) => self.handle_event(Event::Fleet(update)),
            Message::RosterFailed => self.handle_event(Event::Endpoints(EndpointUpdate::Failed)),
        }
    }

    fn apply_roster(&mut self, roster: Roster, update: fn(Vec<EndpointEntry>) -> EndpointUpdate) {
        if let Some(plane_runtime) = &self.plane_runtime {
            plane_runtime.apply_roster(&roster);
        }
        // A server at a new address is a new process: the balancer drops the faults and the limit that it learnt for
        // the old one.
        let gone_entry =
            |server| EndpointEntry { server, state: ServerState::Gone, ..EndpointEntry::default() };
        let moved_servers: Vec<EndpointEntry> =
            self.upstream.update_endpoints(&roster).into_iter().map(gone_entry).collect();
        if !moved_servers.is_empty() {
            self.handle_event(Event::Endpoints(EndpointUpdate::Delta(moved_servers)));
        }
        let replaced_servers = self.upstream.remove_replaced(&roster);
        let entries: Vec<EndpointEntry> = roster.members.into_iter().map(|member| member.entry).collect();
        if entries.iter().any(|entry| entry.state == ServerState::Ready) {
            self.lifecycle.mark_servers_known();
        }
        self.handle_event(Event::Endpoints(update(entries)));
        if !replaced_servers.is_empty() {
            if let Some(suppressed) = self.replaced_log.pass(self.event_time) {
                info!(target: "hallpin_node::driver", suppressed, servers = ?replaced_servers, "replaced at their address");
            }
            let gone = replaced_servers.into_iter().map(gone_entry).collect();
            self.handle_event(Event::Endpoints(EndpointUpdate::Delta(gone)));
        }
    }

    fn handle_event(&mut self, event: Event) {
        self.events.push_back(event);
        self.process_events();
    }

    /// Hands queued events to the balancer in order; executing actions may queue more of them.
    fn process_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.handle(self.clock.at(self.event_time), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send_attempt(request, server, timeout),
            Action::Cancel { request, attempt } => self.abandon_attempt(request, attempt, Status::Cancelled),
            Action::Reject { request, retry_after } => {
                let advice = retry_after.filter(|_| self.sends_retry_after).map(duration);
                self.answer(request, protocol::busy(advice).into(), RequestOutcome::Rejected);
                self.clean_up(request);
            }
            Action::Fail(request) => {
                self.answer(request, protocol::FAILED.into(), RequestOutcome::Failed);
                self.clean_up(request);
            }
            Action::SetTimer { token, after } => {
                self.set_timer(self.event_time + duration(after), Timer::Balancer(token.0));
            }
            // A full queue means that a poll is already pending.
            Action::Subscribe => drop(self.poll_requests.try_send(())),
            Action::Log(text) => {
                if let Some(suppressed) = self.balancer_log.pass(self.event_time) {
                    info!(target: "hallpin_node::balancer", suppressed, "{text}");
                }
            }
            Action::HealthCheck(server) => self.check_health(server),
            // Nodes have no channel between balancers here, and the balancer sends nothing on it.
            Action::Broadcast(_) => {}
        }
    }
}
