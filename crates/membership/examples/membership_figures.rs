//! Prints the time that one membership event takes on this machine, and the rate and size of
//! heartbeats.

use std::hint::black_box;
use std::time::Instant;

use apricotdale_core::names::ModelName;
use apricotdale_core::numbers::Offset;
use apricotdale_core::peer::Heartbeat;
use apricotdale_core::peer::PeerRequest;
use apricotdale_core::vm_list::VmEntry;
use apricotdale_core::vm_list::VmState;
use apricotdale_membership::MembershipAction;
use apricotdale_membership::MembershipEvent;

#[path = "../tests/support/mod.rs"]
mod support;

use support::Fixture;
use support::engine;
use support::vm;

const ROUNDS: u64 = 500;

fn main() {
    for (vms, engines) in [(7, 27), (9, 21), (410, 600)] {
        println!("{vms} VMs, {engines} engines");
        let entries = entries(vms, engines);
        listing_time(&entries);
        lookup_time(&entries);
        heartbeats(&entries);
    }
}

fn entries(vms: usize, engines: usize) -> Vec<VmEntry> {
    let vms = (0..vms).map(|number| vm(&format!("entry-vm-{number}"), VmState::Live));
    let engine = |number| engine(&format!("planner-lm-{number}"), VmState::Live);
    vms.chain((0..engines).map(engine)).collect()
}

fn each_us(rounds: u64, mut work: impl FnMut(u64)) -> f64 {
    let begun = Instant::now();
    for round in 0..rounds {
        work(round);
    }
    begun.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

fn listing_time(entries: &[VmEntry]) {
    let mut fixture = Fixture::new("entry-vm-0");
    let listing_us = each_us(ROUNDS, |round| {
        fixture.list_at(1_000 * (round + 1), entries);
    });
    let answer_us = each_us(ROUNDS, |_| {
        fixture.answer("entry-vm-1", 1, 1);
    });
    let tick_us = each_us(ROUNDS, |round| {
        fixture.handle(MembershipEvent::Tick);
        fixture.now_ms += 100 + round % 2;
    });
    println!(
        "  one reading of the list {listing_us:.0} us, one answered heartbeat {answer_us:.1} us, \
         one tick {tick_us:.1} us"
    );
}

fn lookup_time(entries: &[VmEntry]) {
    let mut fixture = Fixture::new("entry-vm-0");
    fixture.list_at(1_000, entries);
    let view = fixture.membership.view();
    let models: Vec<ModelName> = (0..2_890)
        .map(|number| ModelName::new(format!("adapter-{number}")))
        .collect();
    let model = |round: u64| &models[round as usize % models.len()];
    let preferred_us = each_us(ROUNDS, |round| {
        black_box(view.is_preferred(model(round)));
    });
    let propose_us = each_us(ROUNDS, |round| {
        black_box(view.may_propose(model(round), 1_000));
    });
    let preferred = models
        .iter()
        .filter(|model| view.is_preferred(*model))
        .count();
    println!(
        "  is_preferred {preferred_us:.1} us, may_propose {propose_us:.1} us; this VM is preferred \
         for {preferred} of {} models",
        models.len()
    );
}

fn heartbeats(entries: &[VmEntry]) {
    const SECONDS: u64 = 600;
    let mut fixture = Fixture::new("entry-vm-0");
    fixture.list_at(1_000, entries);
    let ticks = (10..10 + SECONDS * 10).flat_map(|tick| fixture.tick_at(tick * 100));
    let is_heartbeat =
        |action: &MembershipAction| matches!(action, MembershipAction::Heartbeat { .. });
    let sent = ticks.filter(is_heartbeat).count();
    let heartbeat = PeerRequest::Heartbeat(Heartbeat {
        vm: "entry-vm-100".into(),
        process_id: u64::MAX,
        draining: false,
        replayed: Offset(1_000_000),
        digest: u64::MAX,
        digest_at: Offset(1_000_000),
    });
    let bytes = postcard::to_stdvec(&heartbeat)
        .expect("a heartbeat encodes")
        .len();
    println!(
        "  {:.2} heartbeats sent in a second, each {bytes} bytes as postcard before signature and \
         framing",
        sent as f64 / SECONDS as f64
    );
}
