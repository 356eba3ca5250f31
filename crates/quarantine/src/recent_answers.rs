//! Recently answered requests.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::fingerprint::Fingerprint;

/// Times at which requests were last answered, for a bounded number of requests.
#[derive(Clone, Debug)]
pub(crate) struct RecentAnswers {
    at_ms: HashMap<Fingerprint, u64>,
    order: VecDeque<Fingerprint>,
    max_requests: usize,
}

impl RecentAnswers {
    /// Returns an empty record for up to `max_requests` requests.
    pub fn new(max_requests: usize) -> Self {
        Self {
            at_ms: HashMap::new(),
            order: VecDeque::new(),
            max_requests,
        }
    }

    pub fn record(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        if self.at_ms.insert(fingerprint, now_ms).is_some() {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > self.max_requests {
            let oldest = self.order.pop_front();
            oldest.and_then(|oldest| self.at_ms.remove(&oldest));
        }
    }

    pub fn ago_ms(&self, now_ms: u64, fingerprint: &Fingerprint) -> Option<u64> {
        let at_ms = self.at_ms.get(fingerprint)?;
        Some(now_ms.saturating_sub(*at_ms))
    }
}
