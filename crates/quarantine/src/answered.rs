//! Recently answered requests.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::fingerprint::Fingerprint;

/// Times at which requests were last answered, for a bounded number of requests.
#[derive(Clone, Debug)]
pub(crate) struct AnsweredLately {
    at_ms: HashMap<Fingerprint, u64>,
    order: VecDeque<Fingerprint>,
    most: usize,
}

impl AnsweredLately {
    /// Returns an empty record for up to `most` requests.
    pub fn new(most: usize) -> Self {
        Self {
            at_ms: HashMap::new(),
            order: VecDeque::new(),
            most,
        }
    }

    pub fn note(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        if self.at_ms.insert(fingerprint, now_ms).is_some() {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > self.most {
            let oldest = self.order.pop_front();
            oldest.and_then(|oldest| self.at_ms.remove(&oldest));
        }
    }

    pub fn ago_ms(&self, now_ms: u64, fingerprint: &Fingerprint) -> Option<u64> {
        let at_ms = self.at_ms.get(fingerprint)?;
        Some(now_ms.saturating_sub(*at_ms))
    }
}
