//! Routes datagrams to the state machines and drives the machines in a fixed order.

use hallpin_membership::envelope::{Envelope, Kind, Rejection};
use hallpin_membership::machine::{Output, StateMachine};
use hallpin_membership::names::{Moment, NodeId, NodeIncarnation};
use hallpin_membership::view::View;
use hallpin_membership::{Peers, PeersEvent};

use crate::counters::Counters;
use crate::datagram_filter::DatagramFilter;
use crate::token_bucket::TokenBucket;

/// Outputs of the plane, to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlaneOutput<A, B> {
    /// A datagram to send from the plane's socket.
    Datagram {
        /// Receiving node; never this one.
        to: NodeId,
        /// The encoded datagram, of at most [`MAX_DATAGRAM`](hallpin_membership::envelope::MAX_DATAGRAM).
        bytes: Vec<u8>,
    },
    /// An event for the rest of the node.
    Event(PlaneEvent<A, B>),
}

/// An event of one of the state machines; `A` is the event type of placement, `B` that of budgets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlaneEvent<A, B> {
    /// Membership has changed.
    Peers(PeersEvent),
    /// The placement table, or this node's lease on it, has changed.
    Placement(A),
    /// This node's allotments or its role as grantor have changed.
    Budgets(B),
}

/// Rate limit for outgoing datagrams of all state machines together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Datagrams per second over any longer time; at least 1.
    pub per_second: u32,
    /// Datagrams at once; at least 1.
    pub burst: u32,
}

/// The state machines of one node, which share a datagram format and a membership view: `A` agrees on placement tables,
/// `B` divides capacities.
pub struct Plane<A, B> {
    filter: DatagramFilter,
    /// Limits outgoing datagrams of all state machines together.
    rate_limit: TokenBucket,
    counters: Counters,
    peers: Peers,
    placement: Option<A>,
    budgets: Option<B>,
    /// Version of the view at the last tick of placement and budgets.
    ticked_version: u64,
    /// The latest time passed in; an earlier one is replaced by it.
    now: Moment,
}

impl<A: StateMachine, B: StateMachine> Plane<A, B> {
    /// A plane with the given state machines. Datagrams for a machine that is off are refused.
    pub fn new(
        filter: DatagramFilter,
        rate: Rate,
        now: Moment,
        peers: Peers,
        placement: Option<A>,
        budgets: Option<B>,
    ) -> Self {
        let rate_limit = TokenBucket::new(rate.per_second, rate.burst, now);
        let ticked_version = peers.view().version;
        Plane {
            filter,
            rate_limit,
            counters: Counters::default(),
            peers,
            placement,
            budgets,
            ticked_version,
            now,
        }
    }

    /// Handles a received datagram. `sender` is the node whose configured address it came from.
    ///
    /// # Errors
    /// Returns the cause for which the datagram was dropped. The datagram and the refusal have been counted; otherwise
    /// only the plane's time has advanced.
    pub fn receive(&mut self, now: Moment, sender: Option<NodeId>, datagram: &[u8]) -> Result<(), Rejection> {
        let now = self.advance_clock(now);
        self.counters.received += 1;
        let result = self.filter.accept(sender, datagram).and_then(|envelope| self.route(now, &envelope));
        match result {
            Ok(()) => self.follow_view(now),
            Err(cause) => self.counters.record_refusal(cause),
        }
        result
    }

    /// Passes a valid datagram's payload to the state machine of its kind, or returns why it was dropped.
    fn route(&mut self, now: Moment, envelope: &Envelope) -> Result<(), Rejection> {
        let Envelope { kind, from, payload, .. } = envelope;
        match kind {
            Kind::Peers => self.peers.receive(now, *from, payload),
            Kind::Placement => deliver(&mut self.placement, now, self.peers.view(), *from, payload),
            Kind::Quota => deliver(&mut self.budgets, now, self.peers.view(), *from, payload),
        }
    }

    /// Advances all state machines to `now`.
    pub fn tick(&mut self, now: Moment) {
        let now = self.advance_clock(now);
        self.peers.tick(now);
        self.tick_machines(now);
    }

    /// When [`Plane::tick`] must be called next.
    pub fn due(&self) -> Option<Moment> {
        let of_placement = self.placement.as_ref().and_then(StateMachine::due);
        let of_budgets = self.budgets.as_ref().and_then(StateMachine::due);
        [self.peers.due(), of_placement, of_budgets].into_iter().flatten().min()
    }

    /// Takes the outputs since the last call. Datagrams beyond the rate limit are dropped and counted; membership has
    /// priority, then budgets, then placement.
    pub fn take(&mut self, now: Moment) -> Vec<PlaneOutput<A::Event, B::Event>> {
        let now = self.advance_clock(now);
        self.follow_view(now);
        let mut outputs = Vec::new();
        for output in self.peers.take_outputs() {
            outputs.extend(self.emit(now, Kind::Peers, output, PlaneEvent::Peers));
        }
        for output in self.budgets.as_mut().map(StateMachine::take_outputs).unwrap_or_default() {
            outputs.extend(self.emit(now, Kind::Quota, output, PlaneEvent::Budgets));
        }
        for output in self.placement.as_mut().map(StateMachine::take_outputs).unwrap_or_default() {
            outputs.extend(self.emit(now, Kind::Placement, output, PlaneEvent::Placement));
        }
        outputs
    }

    /// This node's membership view.
    pub fn view(&self) -> &View {
        self.peers.view()
    }

    /// Datagram counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The membership machine, which also holds the evidence about boxes.
    pub fn peers(&mut self) -> &mut Peers {
        &mut self.peers
    }

    /// The placement table's state machine, if on.
    pub fn placement(&mut self) -> Option<&mut A> {
        self.placement.as_mut()
    }

    /// The budgets' state machine, if on.
    pub fn budgets(&mut self) -> Option<&mut B> {
        self.budgets.as_mut()
    }

    /// Returns the later of `now` and the latest time passed in before, so that time never runs backwards.
    fn advance_clock(&mut self, now: Moment) -> Moment {
        self.now = self.now.max(now);
        self.now
    }

    /// Ticks placement and budgets at once if the view has changed, rather than at their next deadline.
    fn follow_view(&mut self, now: Moment) {
        if self.peers.view().version != self.ticked_version {
            self.tick_machines(now);
        }
    }

    /// Ticks placement and budgets with the current view.
    fn tick_machines(&mut self, now: Moment) {
        let view = self.peers.view();
        self.ticked_version = view.version;
        if let Some(placement) = &mut self.placement {
            placement.tick(now, view);
        }
        if let Some(budgets) = &mut self.budgets {
            budgets.tick(now, view);
        }
    }

    /// Converts a state machine's output. Returns `None` for a payload that cannot be sent or exceeds the rate limit; it
    /// is dropped and counted.
    fn emit<N>(
        &mut self,
        now: Moment,
        kind: Kind,
        output: Output<N>,
        wrap: impl Fn(N) -> PlaneEvent<A::Event, B::Event>,
    ) -> Option<PlaneOutput<A::Event, B::Event>> {
        let (to, payload) = match output {
            Output::Event(event) => return Some(PlaneOutput::Event(wrap(event))),
            Output::Send { to, payload } => (to, payload),
        };
        let Some(bytes) = self.filter.encapsulate(kind, to, payload) else {
            self.counters.unsendable += 1;
            return None;
        };
        if !self.rate_limit.try_take(now) {
            self.counters.held_back += 1;
            return None;
        }
        self.counters.sent += 1;
        Some(PlaneOutput::Datagram { to, bytes })
    }
}

/// Passes a payload to its state machine, unless that is off or the payload is from an earlier incarnation of its
/// sender.
fn deliver<M: StateMachine>(
    machine: &mut Option<M>,
    now: Moment,
    view: &View,
    from: NodeIncarnation,
    payload: &[u8],
) -> Result<(), Rejection> {
    let machine = machine.as_mut().ok_or(Rejection::Kind)?;
    if view.incarnation(from.node).is_some_and(|newest| newest > from.incarnation) {
        return Err(Rejection::UnknownPeer);
    }
    machine.receive(now, view, from, payload)
}
