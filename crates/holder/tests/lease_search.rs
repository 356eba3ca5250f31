//! Random search over the lease with several VMs, freezes, partitions and restarts, and a store
//! that loses answers, executes calls late and is rolled back.

use std::collections::HashMap;

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Position;
use apricotdale_holder::Lease;
use apricotdale_holder::LeaseAction;
use apricotdale_holder::LeaseAnswer;
use apricotdale_holder::LeaseOptions;
use apricotdale_holder::LeaseRecord;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::proptest;

const VMS: usize = 3;
const STEP_MS: u64 = 50;

/// Number of calm steps within which orders must be given again. Covers the longest freeze, a lease
/// duration and a pause.
const CALM_STEPS: usize = 300;

/// Event of one step, besides the time that passes.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// No event.
    Calm,
    /// A VM is frozen for some steps.
    Freeze { vm: usize, steps: u64 },
    /// A VM's calls are lost for some steps, or only their answers if `after` is set.
    Partition { vm: usize, steps: u64, after: bool },
    /// A VM's process restarts.
    Restart { vm: usize },
    /// A VM's next append is executed some steps later, without an answer.
    Late { vm: usize, steps: u64 },
    /// A VM receives the end of the topic from another VM.
    ReceiveEnd { vm: usize, from: usize },
    /// A VM releases the lease, if it holds it, and does nothing until it restarts.
    Stop { vm: usize },
    /// The answer to a VM's next call is delayed by some steps.
    Slow { vm: usize, steps: u64 },
    /// The store is unavailable for some steps, and is rolled back by some records.
    Rollback { unavailable: u64, lost: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let vm = 0..VMS;
    prop_oneof![
        12 => any::<bool>().prop_map(|_| Step::Calm),
        2 => (vm.clone(), 1..120_u64).prop_map(|(vm, steps)| Step::Freeze { vm, steps }),
        2 => (vm.clone(), 1..120_u64, any::<bool>())
            .prop_map(|(vm, steps, after)| Step::Partition { vm, steps, after }),
        1 => vm.clone().prop_map(|vm| Step::Restart { vm }),
        2 => (vm.clone(), 1..80_u64).prop_map(|(vm, steps)| Step::Late { vm, steps }),
        6 => (vm.clone(), vm).prop_map(|(vm, from)| Step::ReceiveEnd { vm, from }),
    ]
}

fn step_or_stop() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => step(),
        1 => (0..VMS).prop_map(|vm| Step::Stop { vm }),
        1 => (0..VMS).prop_map(|vm| Step::Restart { vm }),
    ]
}

fn step_or_rollback() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => step_or_stop(),
        2 => (0..VMS, 1..18_u64).prop_map(|(vm, steps)| Step::Slow { vm, steps }),
        1 => (0..20_u64, 0..4_usize).prop_map(|(unavailable, lost)| Step::Rollback { unavailable, lost }),
    ]
}

/// Topic in the store, and the calls to execute late.
#[derive(Default)]
struct Store {
    records: Vec<LeaseRecord>,
    late: Vec<(u64, Position, LeaseRecord)>,
    era: u64,
    unavailable_until_ms: u64,
}

impl Store {
    fn end(&self) -> Position {
        Position::new(self.era, self.records.len() as u64)
    }

    /// Appends if the topic ends at the offset. Like the real store, it ignores the era of `at`.
    fn append(&mut self, at: Position, record: &LeaseRecord) -> LeaseAnswer {
        let end = self.end();
        if end.offset != at.offset {
            return LeaseAnswer::EndedElsewhere { end };
        }
        self.records.push(record.clone());
        LeaseAnswer::Appended { at: end }
    }

    fn roll_back(&mut self, until_ms: u64, lost: usize) {
        self.unavailable_until_ms = self.unavailable_until_ms.max(until_ms);
        let kept = self.records.len().saturating_sub(lost);
        self.records.truncate(kept);
        self.era += 1;
    }

    fn call(&mut self, now_ms: u64, action: &LeaseAction) -> LeaseAnswer {
        let end = self.end();
        match action {
            _ if now_ms < self.unavailable_until_ms => LeaseAnswer::NotDone,
            LeaseAction::Read { from } if *from > end.offset => LeaseAnswer::Expired {
                first: Position::new(self.era, 0),
            },
            LeaseAction::Read { from } if *from == end.offset => {
                LeaseAnswer::Read { end, newest: None }
            }
            LeaseAction::Read { .. } => LeaseAnswer::Read {
                end,
                newest: self.records.last().cloned(),
            },
            LeaseAction::Append { at, record } => self.append(*at, record),
        }
    }

    fn execute_late(&mut self, now_ms: u64) {
        if now_ms < self.unavailable_until_ms {
            return;
        }
        let due: Vec<_> = self
            .late
            .extract_if(.., |(at_ms, ..)| *at_ms <= now_ms)
            .collect();
        for (_, at, record) in due {
            self.append(at, &record);
        }
    }
}

struct Vm {
    lease: Lease,
    incarnation: u64,
    frozen_until_ms: u64,
    partitioned_until_ms: u64,
    loses_only_answers: bool,
    late_ms: Option<u64>,
    slow_ms: Option<u64>,
    /// Answer in flight, with its time of arrival.
    answer_in_flight: Option<(u64, LeaseAnswer)>,
    stopped: bool,
}

fn start(vm: usize, incarnation: u64) -> Vm {
    let name = VmName::from(format!("vm-{vm}"));
    let mut lease = Lease::new(LeaseOptions::default(), name, incarnation);
    lease.set_takeover_rank(vm as u64);
    Vm {
        lease,
        incarnation,
        frozen_until_ms: 0,
        partitioned_until_ms: 0,
        loses_only_answers: false,
        late_ms: None,
        slow_ms: None,
        answer_in_flight: None,
        stopped: false,
    }
}

impl Vm {
    fn act(&mut self, now_ms: u64, store: &mut Store) {
        if let Some((_, answer)) = self.answer_in_flight.take_if(|(at_ms, _)| *at_ms <= now_ms) {
            self.lease.answered(now_ms, answer);
        }
        let action = match self.stopped {
            true => None,
            false => self.lease.act(now_ms),
        };
        if let Some(action) = action {
            self.call(now_ms, &action, store);
        }
    }

    /// Stops the VM, which releases the lease if it holds it.
    fn stop(&mut self, now_ms: u64, store: &mut Store) {
        self.stopped = true;
        if let Some(action) = self.lease.release(now_ms) {
            self.call(now_ms, &action, store);
        }
    }

    fn call(&mut self, now_ms: u64, action: &LeaseAction, store: &mut Store) {
        let answer = match (self.late_ms.take(), action) {
            _ if now_ms < self.partitioned_until_ms && !self.loses_only_answers => {
                LeaseAnswer::Unknown
            }
            (Some(late_ms), LeaseAction::Append { at, record }) => {
                store.late.push((now_ms + late_ms, *at, record.clone()));
                LeaseAnswer::Unknown
            }
            _ if now_ms < self.partitioned_until_ms => {
                store.call(now_ms, action);
                LeaseAnswer::Unknown
            }
            _ => store.call(now_ms, action),
        };
        match self.slow_ms.take() {
            Some(slow_ms) => self.answer_in_flight = Some((now_ms + slow_ms, answer)),
            None => {
                self.lease.answered(now_ms, answer);
            }
        }
    }
}

/// Plays the steps, and returns the orders as time, VM, process and fencing token.
fn play(steps: &[Step]) -> Vec<(u64, usize, u64, u64)> {
    let mut store = Store::default();
    let mut vms: Vec<Vm> = (0..VMS).map(|vm| start(vm, vm as u64)).collect();
    let mut next_incarnation = VMS as u64;
    let mut orders = Vec::new();
    for (index, step) in steps.iter().enumerate() {
        let now_ms = (index as u64 + 1) * STEP_MS;
        match *step {
            Step::Calm => {}
            Step::Freeze { vm, steps } => vms[vm].frozen_until_ms = now_ms + steps * STEP_MS,
            Step::Partition { vm, steps, after } => {
                vms[vm].partitioned_until_ms = now_ms + steps * STEP_MS;
                vms[vm].loses_only_answers = after;
            }
            Step::Stop { vm } => {
                if now_ms >= vms[vm].frozen_until_ms {
                    vms[vm].stop(now_ms, &mut store);
                }
            }
            Step::Restart { vm } => {
                vms[vm] = start(vm, next_incarnation);
                next_incarnation += 1;
            }
            Step::Rollback { unavailable, lost } => {
                store.roll_back(now_ms + unavailable * STEP_MS, lost)
            }
            Step::Slow { vm, steps } => vms[vm].slow_ms = Some(steps * STEP_MS),
            Step::Late { vm, steps } => vms[vm].late_ms = Some(steps * STEP_MS),
            Step::ReceiveEnd { vm, from } => {
                let announces =
                    now_ms >= vms[from].frozen_until_ms && vms[from].lease.is_held(now_ms);
                let end = vms[from].lease.end().filter(|_| announces);
                if let (Some(end), true) = (end, now_ms >= vms[vm].frozen_until_ms) {
                    vms[vm].lease.note_end(now_ms, end, None);
                }
            }
        }
        store.execute_late(now_ms);
        for (index, vm) in vms.iter_mut().enumerate() {
            if now_ms >= vm.frozen_until_ms {
                vm.act(now_ms, &mut store);
                if let Some(fence) = vm.lease.fence(now_ms).filter(|_| !vm.stopped) {
                    vm.lease.note_order(now_ms);
                    orders.push((now_ms, index, vm.incarnation, fence));
                }
            }
        }
        let holders = vms.iter().filter(|vm| vm.lease.is_held(now_ms)).count();
        assert!(holders <= 1, "two VMs hold the lease at {now_ms}");
    }
    orders
}

/// Checks the invariants of all orders.
fn check(orders: &[(u64, usize, u64, u64)]) {
    let mut owner: HashMap<u64, u64> = HashMap::new();
    for (_, _, incarnation, fence) in orders {
        assert_eq!(
            owner.entry(*fence).or_insert(*incarnation),
            incarnation,
            "two processes used one fencing token"
        );
    }
    let pause_ms = LeaseOptions::default().pause_ms;
    for pair in orders.windows(2) {
        let (
            (before_ms, vm_before, incarnation_before, fence_before),
            (after_ms, vm, incarnation, fence),
        ) = (pair[0], pair[1]);
        assert!(fence >= fence_before, "a fencing token decreased");
        if vm != vm_before {
            assert!(
                after_ms >= before_ms + pause_ms,
                "a new holder gave an order before its pause had ended"
            );
        } else if incarnation != incarnation_before {
            assert!(after_ms > before_ms, "an earlier process still gave orders");
            assert!(fence > fence_before, "two processes used one fencing token");
        }
    }
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 1_500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        ..Default::default()
    })]

    /// No fencing token is used by two processes, tokens never decrease, and a new holder's first
    /// order comes at least a pause after the last order of the previous holder. Processes of one
    /// VM count as one holder: a restarted VM that finds its own record need not pause, but uses a
    /// new token and starts only after its earlier process has ended.
    #[test]
    fn single_holder(steps in proptest::collection::vec(step(), 50..600)) {
        check(&play(&steps));
    }

    /// The same invariants hold if VMs also stop in an orderly way and release the lease.
    #[test]
    fn single_holder_with_stops(steps in proptest::collection::vec(step_or_stop(), 50..600)) {
        check(&play(&steps));
    }
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 1_500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(43),
        failure_persistence: None,
        ..Default::default()
    })]

    /// The same invariants hold if the store is also rolled back. Once no more faults occur, orders
    /// are given again, under a token that no engine has seen exceeded.
    #[test]
    fn single_holder_with_rollbacks(
        steps in proptest::collection::vec(step_or_rollback(), 50..600)
    ) {
        let calm_from_ms = steps.len() as u64 * STEP_MS;
        let restarts = (0..VMS).map(|vm| Step::Restart { vm });
        let calm = std::iter::repeat_n(Step::Calm, CALM_STEPS);
        let steps: Vec<Step> = steps.into_iter().chain(restarts).chain(calm).collect();
        let orders = play(&steps);
        check(&orders);
        assert!(orders.last().is_some_and(|(at_ms, ..)| *at_ms > calm_from_ms), "no VM gives orders");
    }
}

/// Guards against a search that checks nothing, because no holder gives orders.
#[test]
fn calm_single_holder() {
    let orders = play(&[Step::Calm; 400]);
    assert!(orders.len() > 300);
    assert!(orders.iter().all(|(_, index, ..)| *index == orders[0].1));
}

#[test]
fn frozen_holder_replaced() {
    let mut steps = vec![Step::Calm; 300];
    let first = play(&steps)[0].1;
    steps[40] = Step::Freeze {
        vm: first,
        steps: 300,
    };
    let orders = play(&steps);
    assert!(orders.iter().any(|(_, index, ..)| *index != first));
}
