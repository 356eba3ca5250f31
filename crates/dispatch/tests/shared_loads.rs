//! Requests of all VMs at an engine, as the lease holder announces them, and each VM's share of the room.

mod support;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_dispatch::DispatchDecision;
use apricotdale_dispatch::Dispatcher;
use apricotdale_dispatch::DispatcherOptions;
use apricotdale_dispatch::WaitReason;
use apricotdale_fleet::Directory;
use rstest::rstest;

use support::SLOTS;
use support::directory;
use support::stream;

const VMS: u32 = 80;

fn engine() -> UpstreamName {
    UpstreamName::from("e0")
}

/// Returns the dispatcher of one VM of many.
fn vm(seed: u64) -> Dispatcher {
    let mut options = DispatcherOptions::new(seed, "a".into());
    options.vms = VMS;
    Dispatcher::new(options)
}

fn announce(vm: &mut Dispatcher, now_ms: u64, directory: &Directory, requests: Option<u32>) {
    let upstream = directory.upstream(&engine()).expect("listed");
    vm.record_shared_load(now_ms, upstream, requests);
}

/// Sends as many requests as the VM decides to, up to a number.
fn send_all(vm: &mut Dispatcher, now_ms: u64, directory: &Directory, most: u32) -> u32 {
    let mut job = stream("m0", false);
    job.target_ms = now_ms + 400;
    job.deadline_ms = now_ms + 5_000;
    for sent in 0..most {
        match vm.decide(now_ms, directory, &job) {
            DispatchDecision::Send(upstream) => vm.sent(now_ms, &job, &upstream),
            _ => return sent,
        }
    }
    most
}

/// Guards against VMs that all fill the room which one announcement shows: with ten waiting requests
/// each, 80 VMs together send about as many as there is room for.
#[rstest]
#[case::nearly_full(SLOTS * 3 / 4, SLOTS * 5 / 4)]
#[case::full(SLOTS, SLOTS)]
#[case::overfull(SLOTS * 2, 0)]
fn room_divided(#[case] requests: u32, #[case] room: u32) {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut sent = 0;
    for seed in 0..u64::from(VMS) {
        let mut vm = vm(seed * 7_919 + 1);
        announce(&mut vm, 1_000, &directory, Some(requests));
        sent += send_all(&mut vm, 1_001, &directory, 10);
    }
    let deviation = 3.0 * f64::from(room).sqrt();
    assert!(
        (f64::from(sent) - f64::from(room)).abs() <= deviation,
        "{sent} sent, room for {room}"
    );
}

/// Guards against an engine that is held closed after the announcement has expired, or after the engine
/// is no longer announced.
#[rstest]
#[case::expired(&[Some(SLOTS * 2)], 2_500)]
#[case::not_announced(&[Some(SLOTS * 2), None, None], 1_001)]
fn engine_open(#[case] requests: &[Option<u32>], #[case] now_ms: u64) {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut vm = vm(1);
    for requests in requests {
        announce(&mut vm, 1_000, &directory, *requests);
    }
    assert_eq!(send_all(&mut vm, now_ms, &directory, 2), 2);
}

/// Guards against VMs that all send what has waited as soon as the engine is no longer busy.
#[rstest]
fn first_calm_divided() {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut sent = 0;
    for seed in 0..u64::from(VMS) {
        let mut vm = vm(seed * 7_919 + 1);
        announce(&mut vm, 600, &directory, Some(SLOTS * 2));
        announce(&mut vm, 1_000, &directory, None);
        sent += send_all(&mut vm, 1_001, &directory, 10);
    }
    assert!(sent <= SLOTS * 5 / 2, "{sent} sent");
}

/// Guards against slots that stay empty: a request that ends at a full engine leaves its slot to its VM.
#[rstest]
#[case::full(SLOTS, 1)]
#[case::overfull(SLOTS * 2, 0)]
fn ended_request_replaced(#[case] requests: u32, #[case] expected: u32) {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut vm = vm(1);
    let job = stream("m0", false);
    vm.sent(900, &job, &engine());
    announce(&mut vm, 1_000, &directory, Some(requests));
    let before = send_all(&mut vm, 1_001, &directory, 10);
    let answered = UpstreamOutcome::Answered;
    vm.ended(1_100, &job.service, &engine(), answered, Some(5));
    let after = send_all(&mut vm, 1_101, &directory, 10);
    assert_eq!((before, after), (0, expected));
}

/// Guards against late requests that fill an engine and make further ones late: they are sent only while
/// the engine is less than three quarters full.
#[rstest]
#[case::on_time_open(SLOTS / 2, 2_000, true)]
#[case::late_open(SLOTS / 2, 900, true)]
#[case::late_busy(SLOTS * 3 / 4, 900, false)]
fn late_request_yields(#[case] requests: u32, #[case] target_ms: u64, #[case] is_sent: bool) {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut vm = vm(1);
    announce(&mut vm, 1_000, &directory, Some(requests));
    let mut job = stream("m0", false);
    job.target_ms = target_ms;
    let expected = match is_sent {
        true => DispatchDecision::Send(engine()),
        false => DispatchDecision::Wait(WaitReason::Full),
    };
    assert_eq!(vm.decide(1_001, &directory, &job), expected);
}
