//! The interface of the state machines that talk to other nodes: payloads, time and the view go in, payloads and events
//! come out.

use crate::envelope::{Kind, Rejection};
use crate::names::{Moment, NodeId, NodeIncarnation};
use crate::view::View;

/// An output of a state machine, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output<N> {
    /// Send a payload of the machine's kind, of at most [`MAX_PAYLOAD`](crate::envelope::MAX_PAYLOAD) bytes.
    Send {
        /// The receiver; never this node itself.
        to: NodeId,
        /// The encoded payload.
        payload: Vec<u8>,
    },
    /// An event for the rest of the node.
    Event(N),
}

/// A state machine that reads the view and exchanges payloads of one kind. It has no clock: `now` never decreases from
/// call to call, and every decision follows from the arguments alone.
pub trait StateMachine {
    /// Type of its events for the rest of the node.
    type Event;

    /// Kind of the payloads that it receives.
    const KIND: Kind;

    /// Processes a payload from any sender that claims to be `from`. Outputs are queued for
    /// [`StateMachine::take_outputs`].
    ///
    /// # Errors
    /// [`Rejection::Payload`] or [`Rejection::UnknownPeer`]; then nothing has changed.
    fn receive(
        &mut self,
        now: Moment,
        view: &View,
        from: NodeIncarnation,
        payload: &[u8],
    ) -> Result<(), Rejection>;

    /// Advances time. Must be called when [`StateMachine::due`] is reached, and may be called at any time.
    fn tick(&mut self, now: Moment, view: &View);

    /// Returns when [`StateMachine::tick`] is next needed.
    fn due(&self) -> Option<Moment>;

    /// Takes the outputs since the last call, in order.
    fn take_outputs(&mut self) -> Vec<Output<Self::Event>>;
}
