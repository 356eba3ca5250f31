//! Records of engines that many models share in turn, and of requests of several ranks.

mod support;

use std::sync::Arc;

use apricotdale_soak::ArrivalSeen;
use apricotdale_soak::Attempt;
use apricotdale_soak::Disturbance;
use apricotdale_soak::EngineTime;
use apricotdale_soak::Invariant;
use apricotdale_soak::Kind;
use apricotdale_soak::LinkBreak;
use apricotdale_soak::Place;
use apricotdale_soak::Record;
use apricotdale_soak::ResidenceSeen;
use apricotdale_soak::RestSeen;
use apricotdale_soak::Run;
use apricotdale_soak::SilenceSeen;
use apricotdale_soak::StatedLeaveSeen;
use apricotdale_soak::StatedLimitSeen;
use apricotdale_soak::load_coverage;
use rstest::rstest;

use support::attempt;
use support::broken_invariants;
use support::disturbance;
use support::run;
use support::valid_record;

/// Time when a lease holder is lost.
const LOST_MS: u64 = 20_000;

/// Time when a request is sent to another VM, and refused.
const SENT_MS: u64 = 21_000;
const REFUSED_MS: u64 = 22_500;

fn request(id: &str, model: &str, rank: u32, sent_ms: u64, ended_ms: u64) -> Attempt {
    Attempt {
        vm: 1,
        model: Some(Arc::from(model)),
        rank,
        sent_ms,
        ended_ms,
        ..attempt(id, Kind::Look, 200)
    }
}

/// Returns a request of rank 1 for the model t0 that a VM refuses.
fn refusal(reason: &str) -> Attempt {
    Attempt {
        refusal: Some(reason.to_owned()),
        ending: attempt("r", Kind::Look, 503).ending,
        ..request("r", "t0", 1, SENT_MS, REFUSED_MS)
    }
}

fn residence(model: &str, from_ms: u64, until_ms: Option<u64>) -> ResidenceSeen {
    ResidenceSeen {
        upstream: "i-0".to_owned(),
        model: model.to_owned(),
        ordered_ms: from_ms - 400,
        from_ms,
        until_ms,
    }
}

/// Adds a request that is answered and reaches an engine.
fn add_served(record: &mut Record, request: Attempt, at_ms: u64) {
    record.arrivals.push(ArrivalSeen {
        id: request.id.clone(),
        upstream: "i-0".to_owned(),
        vm: Some(request.vm),
        at_ms,
        is_misdirected: false,
    });
    record.runs.push(Run {
        at_ms,
        ..run(&request.id)
    });
    record.attempts.push(request);
}

/// Returns a record in which the lease holder, VM 0, is lost, and VM 1 later refuses a request for a
/// model that an idle engine lists.
fn closed_record() -> Record {
    let mut record = valid_record();
    record.engine_times = vec![EngineTime {
        upstream: "i-0".to_owned(),
        software: "v1".to_owned(),
        from_ms: 0,
        until_ms: None,
    }];
    record.order_times = vec![(9_000, "vm1".to_owned()), (19_000, "vm0".to_owned())];
    record.disturbances = vec![disturbance(Place::Vm(0), LOST_MS, LOST_MS + 500)];
    record.residences = vec![residence("t0", 15_000, None)];
    record.attempts.push(refusal("deadline_too_short"));
    record
}

/// Guards against a check that overlooks an engine which VMs keep closed after a drain whose lease
/// holder was killed, paused or stopped.
#[rstest]
#[case::killed("kill")]
#[case::all_killed("kill all")]
#[case::paused("pause")]
#[case::stopped("stop")]
fn closed_engine(#[case] what: &str) {
    let mut record = closed_record();
    record.disturbances[0].what = what.to_owned();
    assert_eq!(broken_invariants(&record), [Invariant::EnginesReopen]);
    assert_eq!(load_coverage(&record).losses, 1);
}

/// Guards against a check that blames VMs for an engine that got a request for the model again, no
/// longer lists it, or had just loaded it; for a loss of a VM that gave no orders; for a refusal in
/// time, for other reasons, or of another model.
#[rstest]
#[case::request_sent(|it: &mut Record| add_served(it, request("s", "t0", 1, 21_500, 21_600), 21_550))]
#[case::adapter_sent(|it: &mut Record| add_served(it, request("s", "t0/a1", 2, 21_500, 21_600), 21_550))]
#[case::unloaded(|it: &mut Record| it.residences[0].until_ms = Some(22_000))]
#[case::just_loaded(|it: &mut Record| it.residences[0].from_ms = 20_600)]
#[case::other_holder(|it: &mut Record| it.order_times.push((19_500, "vm2".to_owned())))]
#[case::no_orders(|it: &mut Record| it.order_times.clear())]
#[case::in_time(|it: &mut Record| it.attempts[2].ended_ms = 21_900)]
#[case::other_reason(|it: &mut Record| it.attempts[2].refusal = Some("crashes_upstreams".to_owned()))]
#[case::other_model(|it: &mut Record| it.attempts[2].model = Some(Arc::from("t1")))]
fn open_engine(#[case] change: fn(&mut Record)) {
    let mut record = closed_record();
    change(&mut record);
    assert_eq!(broken_invariants(&record), []);
}

/// Guards against a check that blames VMs for an engine which does not serve, or which they have
/// other reasons to avoid.
#[rstest]
#[case::ended(|it: &mut Record| it.engine_times[0].until_ms = Some(21_000))]
#[case::link_broken(|it: &mut Record| it.link_breaks.push(LinkBreak {
    upstream: "i-0".to_owned(),
    from_ms: 21_000,
    until_ms: 21_500,
}))]
#[case::silent(|it: &mut Record| it.silences.push(SilenceSeen {
    upstream: "i-0".to_owned(),
    from_ms: 21_000,
    until_ms: 21_500,
}))]
#[case::limited(|it: &mut Record| it.stated_limits.push(StatedLimitSeen {
    upstream: "i-0".to_owned(),
    milli_per_s: 0,
    from_ms: 19_000,
    until_ms: 23_000,
}))]
#[case::leaving(|it: &mut Record| it.stated_leaves.push(StatedLeaveSeen {
    upstream: "i-0".to_owned(),
    from_ms: 18_000,
}))]
#[case::resting(|it: &mut Record| it.rests.push(RestSeen {
    id: "x".to_owned(),
    upstream: "i-0".to_owned(),
    vm: Some(1),
    at_ms: 20_500,
    rest_ms: 3_000,
}))]
#[case::vm_paused(|it: &mut Record| it.disturbances.push(disturbance(Place::Vm(1), 20_100, 20_200)))]
#[case::store_rolled_back(|it: &mut Record| it.disturbances.push(Disturbance {
    what: "set back".to_owned(),
    ..disturbance(Place::Store, 20_100, 20_200)
}))]
fn excused_engine(#[case] change: fn(&mut Record)) {
    let mut record = closed_record();
    change(&mut record);
    assert_eq!(broken_invariants(&record), []);
}

/// Guards against a check that overlooks a model which is swapped out and in again within its turn,
/// or that counts other models, other engines, or a model that has had its turn.
#[rstest]
#[case::within_turn("t0", "i-0", 499, true)]
#[case::after_turn("t0", "i-0", 500, false)]
#[case::other_model("t1", "i-0", 499, false)]
#[case::other_engine("t0", "i-1", 499, false)]
fn swapped_model(
    #[case] model: &str,
    #[case] upstream: &str,
    #[case] after_ms: u64,
    #[case] is_broken: bool,
) {
    let mut record = valid_record();
    record.residences = vec![residence("t0", 10_000, Some(10_200))];
    record.residences.push(ResidenceSeen {
        upstream: upstream.to_owned(),
        ordered_ms: 10_000 + after_ms,
        ..residence(model, 10_900, None)
    });
    let expected: &[Invariant] = match is_broken {
        true => &[Invariant::TurnsKept],
        false => &[],
    };
    assert_eq!(broken_invariants(&record), expected);
}

/// Returns a record in which a less urgent request reaches an engine while a request that came
/// earlier to the same VM waits, which is refused.
fn overtaking_record(reason: &str) -> Record {
    let mut record = valid_record();
    record.attempts.push(refusal(reason));
    let later = request("s", "t0", 2, SENT_MS + 100, SENT_MS + 300);
    add_served(&mut record, later, SENT_MS + 150);
    record
}

/// Guards against a check that overlooks a less urgent request which is sent before a more urgent
/// one that came earlier and is refused for want of room.
#[rstest]
#[case::too_late("deadline_too_short")]
#[case::no_capacity("no_capacity")]
#[case::overloaded("overloaded")]
fn overtaken_request(#[case] reason: &str) {
    let record = overtaking_record(reason);
    assert_eq!(broken_invariants(&record), [Invariant::UrgentFirst]);
    assert_eq!(load_coverage(&record).judged_refusals, 1);
}

/// Guards against a check that passes over requests which an engine rejected for want of room.
#[test]
fn rejected_request_overtaken() {
    let mut record = overtaking_record("deadline_too_short");
    record.arrivals.push(ArrivalSeen {
        id: "r".to_owned(),
        ..record.arrivals[0].clone()
    });
    assert_eq!(broken_invariants(&record), [Invariant::UrgentFirst]);
}

/// Guards against a check that compares requests of the same rank, of other models or at other VMs,
/// requests that came earlier or were sent after the refusal, or refusals for other reasons.
#[rstest]
#[case::same_rank(|it: &mut Record| it.attempts[3].rank = 1)]
#[case::other_model(|it: &mut Record| it.attempts[3].model = Some(Arc::from("t1")))]
#[case::adapter(|it: &mut Record| it.attempts[3].model = Some(Arc::from("t0/a1")))]
#[case::other_vm(|it: &mut Record| it.attempts[3].vm = 2)]
#[case::came_earlier(|it: &mut Record| it.attempts[3].sent_ms = SENT_MS - 100)]
#[case::sent_after_refusal(|it: &mut Record| it.arrivals[0].at_ms = REFUSED_MS + 1)]
#[case::over_limit(|it: &mut Record| it.attempts[2].refusal = Some("over_limit".to_owned()))]
#[case::ran(|it: &mut Record| it.runs.push(run("r")))]
#[case::resumes(|it: &mut Record| it.attempts[2].after_event = 3)]
#[case::copy_of_others(|it: &mut Record| it.attempts[2].has_own_body = false)]
#[case::crasher(|it: &mut Record| it.crasher_ids.push(("r".to_owned(), "body".to_owned())))]
fn not_overtaken(#[case] change: fn(&mut Record)) {
    let mut record = overtaking_record("deadline_too_short");
    change(&mut record);
    assert_eq!(broken_invariants(&record), []);
}
