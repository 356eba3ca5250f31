//! Hundreds of VMs that read a store which sends a limited number of bytes a second.
//!
//! Guards against a metastable failure. All VMs read the same backlog of the list at once, and the
//! answers come one after the other. VMs that give up after a fixed time and ask again keep the
//! store sending answers that nobody waits for, so that no VM reads anything any more.

use apricotdale_fleet::Freshness;
use apricotdale_fleet::ReadPacing;
use apricotdale_fleet::ReadSharing;
use rstest::rstest;

/// What the store sends in a millisecond.
const BYTES_A_MS: u64 = 80_000;

/// What the upstreams' entries grow by in a millisecond: 134 of 2 kB, each 1.2 s.
const LIST_BYTES_A_MS: u64 = 223;

/// The upstreams' entries, one of each, and the copy that one VM keeps of them.
const LIST_BYTES: u64 = 360_000;
const COPY_BYTES: u64 = 23_000;
const CONFIGURATION_BYTES: u64 = 50_000;

/// How long a datagram takes.
const DATAGRAM_MS: u64 = 2;

/// How long one VM alone waits for an answer.
const ALONE_MS: u64 = 800;

/// The time between two reads of a VM that no other tells of changes.
const OWN_READ_EVERY_MS: u64 = 900;

/// `Store` answers reads one behind the other, also those that were given up.
#[derive(Default)]
struct Store {
    busy_until_us: u64,
    away_until_ms: u64,
    sent_bytes: u64,
    calls: u64,
}

impl Store {
    /// Returns when the answer has come; none while the store is away.
    fn answered_ms(&mut self, now_ms: u64, bytes: u64) -> Option<u64> {
        self.calls += 1;
        if now_ms < self.away_until_ms {
            return None;
        }
        self.sent_bytes += bytes;
        let begun_us = self.busy_until_us.max(now_ms * 1_000);
        self.busy_until_us = begun_us + bytes * 1_000 / BYTES_A_MS;
        Some(self.busy_until_us.div_ceil(1_000))
    }
}

/// A read under way.
#[derive(Clone, Copy)]
struct Reading {
    ends_ms: u64,
    is_answered: bool,
}

impl Reading {
    fn begin(store: &mut Store, now_ms: u64, bytes: u64, answer_timeout_ms: u64) -> Self {
        let given_up_ms = now_ms + answer_timeout_ms;
        match store.answered_ms(now_ms, bytes) {
            Some(ends_ms) if ends_ms <= given_up_ms => Self {
                ends_ms,
                is_answered: true,
            },
            _ => Self {
                ends_ms: given_up_ms,
                is_answered: false,
            },
        }
    }
}

/// One VM's reading of the list.
struct Vm {
    pacing: ReadPacing,
    sharing: ReadSharing,
    /// Up to when it knows the list.
    known_ms: u64,
    /// When it last read the list itself.
    read_ms: Option<u64>,
    next_ms: u64,
    failures: u32,
    reading: Option<Reading>,
    turn_ms: Option<u64>,
}

impl Vm {
    fn new(vms: u32, seed: u64, known_ms: u64) -> Self {
        let mut pacing = ReadPacing::new(BYTES_A_MS as f64 * 1_000.0, seed);
        pacing.set_vms(vms);
        Self {
            pacing,
            sharing: ReadSharing::default(),
            known_ms,
            read_ms: None,
            next_ms: 0,
            failures: 0,
            reading: None,
            turn_ms: None,
        }
    }

    fn handle_heartbeat(&mut self, now_ms: u64, list_age_ms: u64) {
        let fresh = Freshness {
            configuration: 1,
            configuration_age_ms: Some(0),
            list_age_ms: Some(list_age_ms),
            list_complete: true,
            ..Freshness::default()
        };
        let jitter_ms = self.pacing.jitter_ms();
        self.sharing
            .handle_heartbeat(now_ms, &fresh, self.pacing.spread_ms(), jitter_ms);
        self.known_ms = self.known_ms.max(now_ms - list_age_ms);
    }
}

/// `Fleet` is VMs that lost the one which read the list for all.
struct Fleet {
    store: Store,
    vms: Vec<Vm>,
    /// What was told, and when it arrives.
    told: Vec<(u64, u64)>,
    /// What the upstreams' entries grow by in a millisecond, and the size of one of each.
    list_bytes_a_ms: u64,
    list_bytes: u64,
}

impl Fleet {
    /// Returns VMs that know the list up to a moment and hear no more, with a store that is away.
    fn new(vms: u32, known_ms: u64, away_until_ms: u64) -> Self {
        Self {
            store: Store {
                away_until_ms,
                ..Store::default()
            },
            vms: (0..vms)
                .map(|seed| Vm::new(vms, u64::from(seed) + 1, known_ms))
                .collect(),
            told: Vec::new(),
            list_bytes_a_ms: LIST_BYTES_A_MS,
            list_bytes: LIST_BYTES,
        }
    }

    /// Returns the same with some times as many upstreams.
    fn with_upstreams(mut self, times: u64) -> Self {
        self.list_bytes_a_ms = LIST_BYTES_A_MS * times;
        self.list_bytes = LIST_BYTES * times;
        for vm in &mut self.vms {
            vm.pacing.set_list_rate(self.list_bytes_a_ms * 1_000);
        }
        self
    }

    fn step(&mut self, now_ms: u64) {
        let arrived: Vec<u64> = self
            .told
            .iter()
            .filter(|(at_ms, _)| *at_ms == now_ms)
            .map(|(_, read_ms)| *read_ms)
            .collect();
        self.told.retain(|(at_ms, _)| *at_ms > now_ms);
        for vm in &mut self.vms {
            for read_ms in &arrived {
                vm.handle_heartbeat(now_ms, now_ms - read_ms);
            }
            if let Some(ended) = vm.reading.take_if(|it| it.ends_ms <= now_ms) {
                if ended.is_answered {
                    vm.failures = 0;
                    vm.known_ms = now_ms;
                    vm.read_ms = Some(now_ms);
                    vm.next_ms = now_ms + OWN_READ_EVERY_MS;
                    if !vm.sharing.is_following(now_ms) {
                        self.told.push((now_ms + DATAGRAM_MS, now_ms));
                    }
                } else {
                    vm.failures += 1;
                    vm.next_ms = now_ms + vm.pacing.retry_delay_ms(vm.failures);
                }
            }
            if vm.sharing.is_following(now_ms) {
                vm.turn_ms = None;
                continue;
            }
            let turn_ms = match vm.turn_ms {
                Some(turn_ms) => turn_ms,
                None => *vm.turn_ms.insert(now_ms + vm.pacing.turn_ms()),
            };
            if vm.reading.is_none() && vm.next_ms.max(turn_ms) <= now_ms {
                let backlog = (now_ms - vm.known_ms) * self.list_bytes_a_ms;
                let bytes = backlog.min(self.list_bytes);
                let age_ms = vm.read_ms.map(|read_ms| now_ms - read_ms);
                let answer_timeout_ms =
                    vm.pacing
                        .list_answer_timeout_ms(ALONE_MS, bytes as usize, vm.failures, age_ms);
                vm.reading = Some(Reading::begin(
                    &mut self.store,
                    now_ms,
                    bytes,
                    answer_timeout_ms,
                ));
            }
        }
    }

    fn oldest_ms(&self, now_ms: u64) -> u64 {
        let ages = self.vms.iter().map(|vm| now_ms - vm.known_ms);
        ages.max().unwrap_or_default()
    }
}

/// What VMs did before: all read their whole backlog in step, wait for a fixed time, and ask again
/// after a short pause.
fn vms_that_know_the_list_by_the_former_rule(vms: u32, backlog_ms: u64, end_ms: u64) -> usize {
    const PAUSES_MS: [u64; 3] = [100, 200, 400];
    let mut store = Store::default();
    let begin_ms = backlog_ms;
    let mut readers = vec![(None::<Reading>, 0_usize, begin_ms, false); vms as usize];
    for now_ms in begin_ms..end_ms {
        for (reading, failures, next_ms, knows) in &mut readers {
            if let Some(ended) = reading.take_if(|it| it.ends_ms <= now_ms) {
                *knows = ended.is_answered;
                *next_ms = now_ms + PAUSES_MS[(*failures).min(2)];
                *failures += 1;
            }
            if !*knows && reading.is_none() && *next_ms <= now_ms {
                let bytes = now_ms * LIST_BYTES_A_MS;
                *reading = Some(Reading::begin(&mut store, now_ms, bytes, ALONE_MS));
            }
        }
    }
    readers.iter().filter(|(.., knows)| *knows).count()
}

/// The failure itself, in this model of the store: of 295 VMs those that were not among the first
/// have read nothing half a minute later. With 30 VMs all have.
#[test]
fn former_rule_collapses() {
    assert_eq!(
        vms_that_know_the_list_by_the_former_rule(30, 5_800, 38_000),
        30
    );
    let knowing = vms_that_know_the_list_by_the_former_rule(295, 5_800, 38_000);
    assert!(knowing < 100, "{knowing} of 295 know the list");
}

/// Loses the VM that read for all, and returns how old the list of any VM grew, and which share of
/// what the store sends was read.
fn lose_giver(vms: u32, upstreams: u64) -> (u64, f64) {
    const LOST_MS: u64 = 10_000;
    const END_MS: u64 = LOST_MS + 10_000;
    let mut fleet = Fleet::new(vms, LOST_MS - 400, 0).with_upstreams(upstreams);
    for vm in &mut fleet.vms {
        vm.handle_heartbeat(LOST_MS, 400);
    }
    let mut oldest_ms = 0;
    for now_ms in LOST_MS..END_MS {
        fleet.step(now_ms);
        oldest_ms = oldest_ms.max(fleet.oldest_ms(now_ms));
    }
    let whole_bytes = (END_MS - LOST_MS) * BYTES_A_MS;
    (
        oldest_ms,
        fleet.store.sent_bytes as f64 / whole_bytes as f64,
    )
}

/// The VM that read for all is lost. The list that a VM relies on stays young enough for the bound
/// on upstreams that leave, a few VMs read, and the bytes are a small part of what the store sends.
#[rstest]
fn lost_giver(#[values(9, 30, 100, 300, 410)] vms: u32) {
    let (oldest_ms, share) = lose_giver(vms, 1);
    assert!(oldest_ms < 2_000, "{oldest_ms} ms");
    assert!(share < 0.05, "{share}");
}

/// The same with twenty times as many upstreams: if all VMs read, it would be twenty times what the
/// store sends. A VM may then rely on an older list for as long as it takes until a reader has
/// told.
#[rstest]
fn lost_giver_of_many_upstreams(#[values(100, 300, 410)] vms: u32) {
    let (oldest_ms, share) = lose_giver(vms, 20);
    assert!(oldest_ms < 3_000, "{oldest_ms} ms");
    assert!(share < 0.6, "{share}");
}

/// An outage that ends, with twenty times as many upstreams: all VMs have the list back.
#[rstest]
fn outage_of_many_upstreams(#[values(100, 300, 410)] vms: u32) {
    const LOST_MS: u64 = 10_000;
    const RETURNED_MS: u64 = LOST_MS + 9_000;
    let mut fleet = Fleet::new(vms, LOST_MS, RETURNED_MS).with_upstreams(20);
    for now_ms in LOST_MS..RETURNED_MS + 4_000 {
        fleet.step(now_ms);
    }
    let oldest_ms = fleet.oldest_ms(RETURNED_MS + 4_000);
    assert!(oldest_ms < 3_000, "{oldest_ms} ms");
}

/// The store is away and comes back to VMs that all miss seconds of the list. All have it back
/// within 2 s of its return.
#[rstest]
fn outage_that_ends(#[values(9, 100, 300, 410)] vms: u32, #[values(1_000, 9_000)] outage_ms: u64) {
    const LOST_MS: u64 = 10_000;
    let returned_ms = LOST_MS + outage_ms;
    let mut fleet = Fleet::new(vms, LOST_MS, returned_ms);
    for now_ms in LOST_MS..returned_ms + 2_000 {
        fleet.step(now_ms);
    }
    let oldest_ms = fleet.oldest_ms(returned_ms + 2_000);
    assert!(oldest_ms < 2_000, "{oldest_ms} ms");
    // Not more than 250 calls a second over all VMs while it is away, but for the first ones.
    let most_calls = u64::from(vms) * 4 + outage_ms / 4 + 2_000;
    assert!(
        fleet.store.calls < most_calls,
        "{} calls",
        fleet.store.calls
    );
}

/// All VMs start in the same millisecond, as after a loss of power, and do not know how many they
/// are. Each reads the configuration and the copy of the list, gives no answer up, and can serve
/// within a second.
#[rstest]
fn all_start_at_once(#[values(30, 100, 300, 410)] vms: u32) {
    let mut store = Store::default();
    let mut pacing = ReadPacing::new(BYTES_A_MS as f64 * 1_000.0, 1);
    let mut served_ms = 0;
    for bytes in [CONFIGURATION_BYTES, COPY_BYTES] {
        for _ in 0..vms {
            let answer_timeout_ms = pacing.answer_timeout_ms(500, 64 * 1024, 0);
            let reading = Reading::begin(&mut store, 0, bytes, answer_timeout_ms);
            assert!(reading.is_answered);
            served_ms = served_ms.max(reading.ends_ms);
        }
    }
    assert!(served_ms < 1_000, "{served_ms} ms");
}
