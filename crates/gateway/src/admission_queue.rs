//! Runs the admission policy: its waiting requests and its ticks.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use apricotdale_core::names::ModelName;
use apricotdale_core::policy::AdmissionAction;
use apricotdale_core::policy::AdmissionEvent;
use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::Arrival;
use apricotdale_core::policy::Ticket;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::serving::Clock;
use crossbeam_channel::Sender;
use parking_lot::Condvar;
use parking_lot::Mutex;
use parking_lot::MutexGuard;

use crate::context::Control;

/// Minimum time between two ticks. Without it, a policy whose next tick is always due would keep a
/// core busy.
const MIN_TICK: Duration = Duration::from_millis(1);

/// Runs the admission policy and sends its decisions to the waiting requests.
pub(crate) struct AdmissionQueue {
    state: Mutex<State>,
    tick_changed: Condvar,
    next_ticket: AtomicU64,
    clock: Arc<dyn Clock>,
}

struct State {
    policy: Box<dyn AdmissionPolicy>,
    waiting: HashMap<Ticket, Waiting>,
    stopped: bool,
}

struct Waiting {
    target: ModelName,
    control: Sender<Control>,
}

impl AdmissionQueue {
    pub(crate) fn new(policy: Box<dyn AdmissionPolicy>, clock: Arc<dyn Clock>) -> Self {
        Self {
            state: Mutex::new(State {
                policy,
                waiting: HashMap::new(),
                stopped: false,
            }),
            tick_changed: Condvar::new(),
            next_ticket: AtomicU64::new(1),
            clock,
        }
    }

    /// Returns a ticket that no other request of this process has.
    pub(crate) fn next_ticket(&self) -> Ticket {
        Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    /// Adds a waiting request. The decision on it is sent to its control channel.
    pub(crate) fn enqueue(&self, arrival: Arrival, control: Sender<Control>) {
        let mut state = self.state.lock();
        let waiting = Waiting {
            target: arrival.target.clone(),
            control,
        };
        state.waiting.insert(arrival.ticket, waiting);
        self.handle(state, AdmissionEvent::Arrived(arrival));
    }

    /// Withdraws a waiting request. Returns false if its decision has already been sent.
    pub(crate) fn withdraw(&self, ticket: Ticket) -> bool {
        let mut state = self.state.lock();
        if state.waiting.remove(&ticket).is_none() {
            return false;
        }
        self.handle(state, AdmissionEvent::Withdrawn { ticket });
        true
    }

    /// Reports the end of a started request to the policy.
    pub(crate) fn record_end(&self, ticket: Ticket, ran_ms: u64) {
        self.handle(self.state.lock(), AdmissionEvent::Ended { ticket, ran_ms });
    }

    /// Reports a target's capacity to the policy. `ready_at_ms` is when the first slot is expected,
    /// if there is none yet.
    pub(crate) fn set_capacity(&self, target: ModelName, slots: u32, ready_at_ms: Option<u64>) {
        let event = AdmissionEvent::Capacity {
            target,
            slots,
            ready_at_ms,
        };
        self.handle(self.state.lock(), event);
    }

    /// Refuses all requests that wait for a target, and returns their number.
    pub(crate) fn refuse_target(&self, target: &ModelName, refusal: &Refusal) -> usize {
        let mut refused = 0;
        let tickets: Vec<Ticket> = {
            let state = self.state.lock();
            let waits = state.waiting.iter();
            waits
                .filter(|(_, waiting)| waiting.target == *target)
                .map(|(ticket, _)| *ticket)
                .collect()
        };
        for ticket in tickets {
            let mut state = self.state.lock();
            let Some(waiting) = state.waiting.remove(&ticket) else {
                continue;
            };
            waiting.send(Control::Refused(refusal.clone()));
            self.handle(state, AdmissionEvent::Withdrawn { ticket });
            refused += 1;
        }
        refused
    }

    /// Ticks the policy whenever it asks for it, until [`stop`](Self::stop) is called.
    pub(crate) fn run_ticks(&self) {
        let mut state = self.state.lock();
        while !state.stopped {
            let now_ms = self.clock.monotonic_ms();
            match state.policy.next_tick_ms() {
                None => self.tick_changed.wait(&mut state),
                Some(due_ms) if due_ms > now_ms => {
                    let wait = Duration::from_millis(due_ms - now_ms);
                    self.tick_changed.wait_for(&mut state, wait);
                }
                Some(_) => {
                    let actions = state.policy.handle(now_ms, AdmissionEvent::Tick);
                    state.apply(now_ms, actions);
                    self.tick_changed.wait_for(&mut state, MIN_TICK);
                }
            }
        }
    }

    /// Ends [`run_ticks`](Self::run_ticks).
    pub(crate) fn stop(&self) {
        self.state.lock().stopped = true;
        self.tick_changed.notify_all();
    }

    fn handle(&self, mut state: MutexGuard<'_, State>, event: AdmissionEvent) {
        let now_ms = self.clock.monotonic_ms();
        let previous_tick_ms = state.policy.next_tick_ms();
        let actions = state.policy.handle(now_ms, event);
        state.apply(now_ms, actions);
        if state.policy.next_tick_ms() != previous_tick_ms {
            self.tick_changed.notify_all();
        }
    }
}

impl State {
    fn apply(&mut self, now_ms: u64, actions: Vec<AdmissionAction>) {
        let mut pending = actions;
        while !pending.is_empty() {
            let mut next = Vec::new();
            for action in pending {
                next.extend(self.apply_one(now_ms, action));
            }
            pending = next;
        }
    }

    fn apply_one(&mut self, now_ms: u64, action: AdmissionAction) -> Vec<AdmissionAction> {
        match action {
            AdmissionAction::Start(ticket) => match self.waiting.remove(&ticket) {
                Some(waiting) => waiting.send(Control::Admitted),
                // The request no longer waits. The policy must be notified of its end, or the
                // target would lose the slot for good.
                None => {
                    log::error!(
                        "admission started ticket {}, which is not waiting",
                        ticket.0
                    );
                    let ended = AdmissionEvent::Ended { ticket, ran_ms: 0 };
                    return self.policy.handle(now_ms, ended);
                }
            },
            AdmissionAction::Refuse(ticket, refusal) => {
                if let Some(waiting) = self.waiting.remove(&ticket) {
                    waiting.send(Control::Refused(refusal));
                }
            }
        }
        Vec::new()
    }
}

impl Waiting {
    fn send(self, control: Control) {
        // A request whose receiver is gone withdraws by itself, so a failed send loses nothing.
        let _ = self.control.send(control);
    }
}
