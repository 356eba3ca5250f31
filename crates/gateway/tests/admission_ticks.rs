//! Ticks of the admission policy, and starts of requests that were already withdrawn.

mod support;

use std::collections::HashSet;
use std::sync::mpsc;
use std::sync::mpsc::Sender;

use apricotdale_core::policy::AdmissionAction;
use apricotdale_core::policy::AdmissionEvent;
use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::Ticket;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_gateway::Options;
use support::Fixture;
use support::TEST_TIMEOUT;

/// Policy that refuses each request at the first tick after its arrival.
#[derive(Default)]
struct RefuseAtTick {
    waiting: HashSet<Ticket>,
    due_ms: Option<u64>,
}

impl AdmissionPolicy for RefuseAtTick {
    fn handle(&mut self, now_ms: u64, event: AdmissionEvent) -> Vec<AdmissionAction> {
        match event {
            AdmissionEvent::Arrived(arrival) => {
                self.waiting.insert(arrival.ticket);
                self.due_ms = Some(now_ms + 10);
                Vec::new()
            }
            AdmissionEvent::Tick => {
                self.due_ms = None;
                let refusal = Refusal::not_run(RefusalReason::DeadlineTooShort, "predicted");
                let refuse = |ticket| AdmissionAction::Refuse(ticket, refusal.clone());
                self.waiting.drain().map(refuse).collect()
            }
            _ => Vec::new(),
        }
    }

    fn next_tick_ms(&self) -> Option<u64> {
        self.due_ms
    }
}

/// Guards against a policy that is ticked only along with other events: here no event happens
/// between a request's arrival and the tick that the policy asked for.
#[test]
fn tick_without_events() {
    let admission = Box::<RefuseAtTick>::default();
    let http = apricotdale_http::Options::default();
    let fixture = Fixture::with_admission(Options::default(), http, admission);
    for _ in 0..3 {
        let received = fixture.caller().complete(&[]).refusal();
        let expected = (503, "deadline_too_short".to_owned(), "not_run".to_owned());
        assert_eq!(received, expected);
    }
}

/// Policy that starts requests only after their withdrawal.
struct StartWithdrawn(Sender<Ticket>);

impl AdmissionPolicy for StartWithdrawn {
    fn handle(&mut self, _now_ms: u64, event: AdmissionEvent) -> Vec<AdmissionAction> {
        match event {
            AdmissionEvent::Withdrawn { ticket } => vec![AdmissionAction::Start(ticket)],
            AdmissionEvent::Ended { ticket, .. } => {
                self.0.send(ticket).expect("the test waits");
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn next_tick_ms(&self) -> Option<u64> {
        None
    }
}

/// Guards against a target that loses a slot for good: the policy starts a request that has just
/// been withdrawn, and must still be notified of its end.
#[test]
fn withdrawn_start_ended() {
    let (ended, has_ended) = mpsc::channel();
    let admission = Box::new(StartWithdrawn(ended));
    let http = apricotdale_http::Options::default();
    let fixture = Fixture::with_admission(Options::default(), http, admission);
    let received = fixture.caller().complete(&[("X-Request-Timeout-Ms", "50")]);
    assert_eq!(received.status, 504);
    assert_eq!(has_ended.recv_timeout(TEST_TIMEOUT), Ok(Ticket(1)));
    assert_eq!(fixture.engine.served_count(), 0);
}
