//! Faults of streams that break off at one upstream and are continued at another, shared by the
//! upstreams.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::platform::answer_faults::AnswerFault;

/// Faults for streams that are continued at another upstream than the one that broke them off. A
/// fault breaks streams off until it has spoiled a continuation, so none is lost while only one
/// upstream serves, or with an upstream that ends.
#[derive(Debug, Default)]
pub(crate) struct SharedFaults {
    waiting: VecDeque<AnswerFault>,
    /// Upstreams that broke streams off, by request ID.
    broken_at: HashMap<String, String>,
}

impl SharedFaults {
    pub fn push(&mut self, fault: AnswerFault) {
        self.waiting.push_back(fault);
    }

    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Returns the fault of a stream, or of the rest of one, that an upstream is to send.
    pub fn next(&mut self, id: &str, first_event: u64, upstream: &str) -> Option<AnswerFault> {
        match self.broken_at.get(id) {
            Some(other) if first_event > 1 && other != upstream => self.waiting.pop_front(),
            None if first_event == 1 => {
                let fault = *self.waiting.front()?;
                self.broken_at.insert(id.to_owned(), upstream.to_owned());
                Some(fault)
            }
            _ => None,
        }
    }
}
