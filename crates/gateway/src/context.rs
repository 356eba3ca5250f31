//! What is known of one request while it is handled.

use std::sync::Arc;

use apricotdale_core::config::ClassTarget;
use apricotdale_core::names::CallerName;
use apricotdale_core::names::RequestId;
use apricotdale_core::refusal::Refusal;
use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;

use crate::trace::TraceLog;

/// `Control` is what a request's thread is told by others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Control {
    /// Admission started the request.
    Admitted,
    /// Admission or placement refused it.
    Refused(Refusal),
    /// The caller closed its connection.
    CallerGone,
}

/// `Inbox` is a request's control channel.
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

/// `Context` is what is known of one request once it has been classified.
pub(crate) struct Context {
    /// The request's identity.
    pub(crate) id: RequestId,
    /// The class and its target.
    pub(crate) class: ClassTarget,
    /// The caller.
    pub(crate) caller: CallerName,
    /// When it arrived.
    pub(crate) arrived_ms: u64,
    /// When its answer must have begun.
    pub(crate) deadline_ms: u64,
    /// Its trace.
    pub(crate) trace: Arc<TraceLog>,
    /// Its control channel.
    pub(crate) inbox: Inbox,
}
