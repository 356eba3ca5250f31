//! State of one classified request while it is handled.

use std::sync::Arc;

use apricotdale_core::config::ClassTarget;
use apricotdale_core::names::CallerName;
use apricotdale_core::names::RequestId;
use apricotdale_core::refusal::Refusal;
use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;

use crate::trace::TraceLog;

/// Message that other threads send to the thread handling a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Control {
    /// Admission has started the request.
    Admitted,
    /// Admission or placement has refused the request.
    Refused(Refusal),
    /// The caller has closed its connection.
    CallerGone,
}

/// Channel of [`Control`] messages to the thread handling a request.
pub(crate) struct Inbox {
    pub(crate) sender: Sender<Control>,
    pub(crate) receiver: Receiver<Control>,
}

impl Inbox {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = crossbeam_channel::unbounded();
        Self { sender, receiver }
    }
}

/// Properties of one request, fixed once it is classified.
pub(crate) struct Context {
    /// Identity that the gateway has given to the request.
    pub(crate) id: RequestId,
    /// Class of the request, with the target of its answer time.
    pub(crate) class: ClassTarget,
    /// Name under which the caller's share is counted.
    pub(crate) caller: CallerName,
    /// Arrival time on the gateway's monotonic clock.
    pub(crate) arrived_ms: u64,
    /// Time on the monotonic clock by which the answer must have begun.
    pub(crate) deadline_ms: u64,
    /// Trace that `Gateway::explain` returns.
    pub(crate) trace: Arc<TraceLog>,
    /// Receives admission's decision and the caller's hang-up.
    pub(crate) inbox: Inbox,
}
