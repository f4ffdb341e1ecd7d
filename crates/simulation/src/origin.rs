//! The planner with the callers of its calls: gives the calls of all boxes ids of its own, and addresses each answer to
//! the incarnation of the box that made the call.
//!
//! The caller of this module carries out its outputs, in virtual time or by the wall clock.

use rustc_hash::FxHashMap;

use crate::list::BoxId;
use crate::planner::{Planner, PlannerCall, PlannerNotification};
use crate::time::{Span, Time};
use crate::trace::Event;

/// An output of the planner, which the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum OriginOutput {
    /// An event for the trace.
    Record(Event),
    /// Deliver an answer to a box, if that is still the same incarnation.
    Answer {
        /// The box that made the call.
        to: BoxId,
        /// Incarnation of the box when it made the call.
        incarnation: u32,
        /// Id that the box gave the call.
        id: u64,
        /// Version of the key, or `None` if the call failed.
        version: Option<u64>,
    },
    /// Call [`Origin::wake`] at this time, which replaces the time of an earlier `WakeAt`.
    WakeAt(Time),
}

/// The planner, with the callers of the calls in flight.
pub struct Origin {
    planner: Planner,
    scheduled_wake: Option<Time>,
    /// Callers by the planner's call ids: the box, its incarnation, and the box's own call id.
    callers: FxHashMap<u64, (BoxId, u32, u64)>,
    last_call_id: u64,
    notifications: Vec<PlannerNotification>,
}

impl Origin {
    /// A planner without any calls in flight.
    pub fn new(planner: Planner) -> Self {
        Origin {
            planner,
            scheduled_wake: None,
            callers: FxHashMap::default(),
            last_call_id: 0,
            notifications: Vec::new(),
        }
    }

    /// Read access to the planner.
    pub fn planner(&self) -> &Planner {
        &self.planner
    }

    /// Write access to the planner, for calls that cause no notifications.
    pub fn planner_mut(&mut self) -> &mut Planner {
        &mut self.planner
    }

    /// Handles a call from a box; `cold` if the box is warming up.
    pub fn call(
        &mut self,
        now: Time,
        by: BoxId,
        incarnation: u32,
        ask: PlannerCall,
        cold: bool,
        out: &mut Vec<OriginOutput>,
    ) {
        out.push(OriginOutput::Record(Event::PlannerCalled { by, write: ask.write.is_some(), cold }));
        self.last_call_id += 1;
        let id = self.last_call_id;
        if !self.planner.is_down() {
            self.callers.insert(id, (by, incarnation, ask.id));
        }
        self.planner.call(now, PlannerCall { id, ..ask }, &mut self.notifications);
        self.forward_notifications(now, out);
    }

    /// Handles the wake-up scheduled for `at`; does nothing if it was rescheduled since.
    pub fn wake(&mut self, now: Time, at: Time, out: &mut Vec<OriginOutput>) {
        if self.scheduled_wake == Some(at) {
            self.scheduled_wake = None;
            self.planner.wake(now, &mut self.notifications);
            self.forward_notifications(now, out);
        }
    }

    /// Begins or ends an incident in which the planner does not answer.
    pub fn silence(&mut self, now: Time, silent: bool, out: &mut Vec<OriginOutput>) {
        self.planner.silence(now, silent, &mut self.notifications);
        self.forward_notifications(now, out);
    }

    /// Turns the planner's notifications into outputs, and schedules the next wake-up.
    fn forward_notifications(&mut self, now: Time, out: &mut Vec<OriginOutput>) {
        for notification in self.notifications.drain(..) {
            match notification {
                PlannerNotification::Done { id, key, version, wrote } => {
                    if let Some(version) = version.filter(|_| wrote) {
                        out.push(OriginOutput::Record(Event::Written { key, version }));
                    }
                    if let Some((to, incarnation, id)) = self.callers.remove(&id) {
                        out.push(OriginOutput::Answer { to, incarnation, id, version });
                    }
                }
                PlannerNotification::Stopped => {
                    self.callers.clear();
                    let overdriven = self.planner.is_overloaded();
                    out.push(OriginOutput::Record(Event::PlannerStopped { overdriven }));
                }
                PlannerNotification::Resumed => out.push(OriginOutput::Record(Event::PlannerResumed)),
            }
        }
        if let Some(wake) = self.planner.next_wake().map(|at| at.max(now + Span(1))) {
            if self.scheduled_wake.is_none_or(|scheduled| wake < scheduled || scheduled <= now) {
                self.scheduled_wake = Some(wake);
                out.push(OriginOutput::WakeAt(wake));
            }
        }
    }
}
