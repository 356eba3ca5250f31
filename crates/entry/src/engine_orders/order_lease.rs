//! Store calls for the order lease, and the effects of gaining or losing it.

use apricotdale_holder::LeaseAction;
use apricotdale_holder::LeaseAnswer;
use apricotdale_holder::LeaseRecord;

use super::LEASE_TIMEOUT_MS;
use crate::calls::CallOutcome;
use crate::calls::CallTag;
use crate::codec::LogRead;
use crate::codec::StoreOutcome;
use crate::codec::Topic;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;

impl Daemon {
    pub(super) fn call_store_for_lease(&mut self, action: &LeaseAction) {
        match action {
            LeaseAction::Read { from } => {
                let bytes = self.codecs.store.read(Topic::Lease, *from, 0, None);
                self.call_store(CallTag::LeaseRead, &bytes, LEASE_TIMEOUT_MS);
            }
            LeaseAction::Append { at, record } => {
                let record =
                    postcard::to_stdvec(record).expect("a locally built record can be encoded");
                let bytes = self
                    .codecs
                    .store
                    .append(Topic::Lease, Some(at.offset), &record);
                self.call_store(CallTag::LeaseAppend, &bytes, LEASE_TIMEOUT_MS);
            }
        }
    }

    /// Handles the outcome of a store call for the lease.
    pub(crate) fn lease_call_ended(&mut self, tag: &CallTag, outcome: CallOutcome) {
        let answer = match (tag, outcome) {
            (_, CallOutcome::NotSent) => LeaseAnswer::NotDone,
            (_, CallOutcome::Unknown | CallOutcome::RolledBack) => LeaseAnswer::Unknown,
            (CallTag::LeaseRead, CallOutcome::Answered { status, body }) => {
                self.lease_read(status, &body)
            }
            (_, CallOutcome::Answered { status, body }) => {
                match self.codecs.store.append_answer(status, &body) {
                    Ok(StoreOutcome::Done { offset }) => LeaseAnswer::Appended {
                        at: self.store_era.position(offset),
                    },
                    Ok(StoreOutcome::EndedElsewhere { end }) => LeaseAnswer::EndedElsewhere {
                        end: self.store_era.position(end),
                    },
                    Ok(StoreOutcome::NotDone) => LeaseAnswer::NotDone,
                    Err(_) => LeaseAnswer::Unknown,
                }
            }
        };
        if matches!(answer, LeaseAnswer::Appended { .. }) {
            // A VM that has missed the last renewal would only find it in the store when it tries
            // to take over from a lost holder, and would then wait for another whole lease.
            self.peers.schedule_heartbeat();
        }
        let released = self.engine_orders.lease.answered(self.now_ms, answer);
        if let Some((lease_end, quiet_ms)) = released {
            log::info!(lease_end = lease_end.to_string(), quiet_ms; "lease given back");
            self.peers.send_all(&PeerMessage::Released {
                lease_end,
                quiet_ms,
            });
        }
        self.update_fence();
    }

    fn lease_read(&self, status: u16, body: &[u8]) -> LeaseAnswer {
        match self.codecs.store.read_answer(status, body) {
            Ok(LogRead::Records { end, records }) => {
                let newest = records
                    .last()
                    .and_then(|record| postcard::from_bytes::<LeaseRecord>(record).ok());
                let end = self.store_era.position(end);
                LeaseAnswer::Read { end, newest }
            }
            Ok(LogRead::Expired { first }) => LeaseAnswer::Expired {
                first: self.store_era.position(first),
            },
            Err(_) => LeaseAnswer::NotDone,
        }
    }

    /// Starts or stops sending orders when the fencing token of the lease changes.
    pub(super) fn update_fence(&mut self) {
        let fence = self.engine_orders.lease.fence(self.now_ms);
        if fence == self.engine_orders.fence {
            return;
        }
        match fence {
            Some(fence) => {
                self.metrics.takeover();
                let lease_end = self.engine_orders.lease_end().to_string();
                log::info!(fence, lease_end; "this VM gives orders");
                // Entries announced by other VMs omit copies of weights, which planning needs.
                self.store_pollers.prepare_for_lease(self.now_ms);
                self.learned_store.begin_term(self.now_ms);
            }
            None => {
                log::info!("this VM gives no more orders");
                self.learned_store.end_term();
            }
        }
        self.engine_orders.fence = fence;
        self.engine_orders.planners.clear();
        self.update_store_load_gauges();
        self.engine_orders.next_plan_ms = self.now_ms;
    }

    /// Releases the lease at a planned stop.
    pub(crate) fn release_lease(&mut self) {
        if let Some(action) = self.engine_orders.lease.release(self.now_ms) {
            self.call_store_for_lease(&action);
        }
        self.update_fence();
    }
}
