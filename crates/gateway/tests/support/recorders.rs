//! Fakes that record the gateway's calls.

use apricotdale_core::claims::KeptAnswer;
use apricotdale_core::names::IdempotencyKey;
use apricotdale_core::names::RequestId;
use apricotdale_core::refusal::Ran;
use apricotdale_core::serving::ClaimDecision;
use apricotdale_core::serving::ClaimKeeper;
use apricotdale_core::serving::ClaimRequest;
use apricotdale_core::serving::DemandEvent;
use apricotdale_core::serving::DemandSink;
use apricotdale_core::serving::ServingEvent;
use apricotdale_core::serving::ServingObserver;
use parking_lot::Condvar;
use parking_lot::Mutex;

use super::TEST_TIMEOUT;

/// Records events and lets a test wait for one.
pub struct Recorder<T> {
    events: Mutex<Vec<T>>,
    grown: Condvar,
}

impl<T> Default for Recorder<T> {
    fn default() -> Self {
        Self {
            events: Mutex::default(),
            grown: Condvar::new(),
        }
    }
}

impl<T: Clone> Recorder<T> {
    pub fn push(&self, event: T) {
        self.events.lock().push(event);
        self.grown.notify_all();
    }

    pub fn all(&self) -> Vec<T> {
        self.events.lock().clone()
    }

    /// Waits until a matching event was recorded, and returns it.
    pub fn wait_for(&self, matches: impl Fn(&T) -> bool) -> T {
        self.wait_for_nth(1, matches)
    }

    /// Waits until `count` matching events were recorded, and returns the last of them.
    pub fn wait_for_nth(&self, count: usize, matches: impl Fn(&T) -> bool) -> T {
        let mut events = self.events.lock();
        loop {
            if let Some(event) = events.iter().filter(|event| matches(event)).nth(count - 1) {
                return event.clone();
            }
            let waited = self.grown.wait_for(&mut events, TEST_TIMEOUT);
            assert!(!waited.timed_out(), "the event never came");
        }
    }
}

#[derive(Default)]
pub struct Demand(pub Recorder<DemandEvent>);

impl DemandSink for Demand {
    fn note(&self, _now_ms: u64, event: DemandEvent) {
        self.0.push(event);
    }
}

#[derive(Default)]
pub struct Observer(pub Recorder<ServingEvent>);

impl ServingObserver for Observer {
    fn observe(&self, event: &ServingEvent) {
        self.0.push(event.clone());
    }
}

impl Observer {
    /// Returns the reason and `ran` of each refusal.
    pub fn refusals(&self) -> Vec<(String, Ran)> {
        let events = self.0.all().into_iter();
        events
            .filter_map(|event| match event {
                ServingEvent::Refused { refusal, .. } => {
                    Some((refusal.reason.to_string(), refusal.ran))
                }
                _ => None,
            })
            .collect()
    }
}

/// Lets every call run unless the test sets another decision.
#[derive(Default)]
pub struct Claims {
    pub decision: Mutex<Option<ClaimDecision>>,
    pub asked: Recorder<ClaimRequest>,
    /// Lock that each claim takes, so that a test that holds it delays claims.
    pub hold: Mutex<()>,
    pub finished: Recorder<(IdempotencyKey, Ran, Option<KeptAnswer>)>,
}

impl ClaimKeeper for Claims {
    fn claim(&self, ask: &ClaimRequest) -> ClaimDecision {
        self.asked.push(ask.clone());
        let _free = self.hold.lock();
        let decision = self.decision.lock().clone();
        decision.unwrap_or(ClaimDecision::Run)
    }

    fn finish(
        &self,
        key: &IdempotencyKey,
        _request: &RequestId,
        ran: Ran,
        answer: Option<KeptAnswer>,
    ) {
        self.finished.push((key.clone(), ran, answer));
    }
}
