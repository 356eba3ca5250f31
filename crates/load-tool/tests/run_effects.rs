//! Violations of the system's invariants are counted, and nothing else.

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;

use apricotdale_launcher::answer::RefusedAnswer;
use apricotdale_launcher::standin::EngineEffects;
use apricotdale_launcher::standin::EngineRequest;
use apricotdale_launcher::standin::RequestState;
use apricotdale_launcher::standin::ServiceEffects;
use apricotdale_load_tool::load::effects::Effects;
use apricotdale_load_tool::load::effects::KilledVm;
use apricotdale_load_tool::load::effects::Violations;
use apricotdale_load_tool::load::record::Ending;
use apricotdale_load_tool::load::record::Record;
use apricotdale_load_tool::load::schedule::PlannedRequest;
use apricotdale_load_tool::load::schedule::Work;

const ORDER: Work = Work::CutOrder {
    order: 1,
    keyed: true,
};

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn planned(work: Work) -> PlannedRequest {
    PlannedRequest {
        at: ms(0),
        vm: 0,
        class: 0,
        caller: 0,
        work,
        is_duplicate: false,
    }
}

/// Returns the record of a request that was sent to VM 0 at 100 ms and ended at 200 ms.
fn record(ending: Ending) -> Record {
    Record {
        planned: 0,
        vm: 0,
        sent: ms(100),
        first: None,
        ended: ms(200),
        gaps_us: Vec::new(),
        identity: "req-1".to_owned(),
        engine: None,
        resends: 0,
        retry_after: None,
        is_caller_retry: false,
        ending,
    }
}

fn refused(ran: &str) -> Ending {
    Ending::Refused(RefusedAnswer {
        reason: "overloaded".to_owned(),
        ran: ran.to_owned(),
    })
}

fn counts(entries: &[(&str, u64)]) -> BTreeMap<String, u64> {
    let entries = entries.iter();
    entries
        .map(|(name, count)| ((*name).to_owned(), *count))
        .collect()
}

fn engine(loads: &[(&str, u64)], overcommitted: u64) -> EngineEffects {
    EngineEffects {
        loads: counts(loads),
        overcommitted,
        ..EngineEffects::default()
    }
}

fn service(calls: &[(&str, u64)], keys: &[(&str, u64)]) -> ServiceEffects {
    ServiceEffects {
        calls: counts(calls),
        keys: counts(keys),
        ..ServiceEffects::default()
    }
}

fn violations(effects: &Effects, work: Work, ending: Ending) -> Violations {
    Violations::count(effects, &[planned(work)], &[record(ending)], None)
}

#[test]
fn clean_run_counts() {
    let effects = Effects {
        engines: vec![engine(&[("m1", 2)], 0), engine(&[("m1", 1)], 0)],
        services: vec![service(&[("POST /cut-orders/1", 1)], &[("cut-order-1", 1)])],
        loads_before: counts(&[("m1", 1)]),
        loads_decided: counts(&[("m1", 2)]),
    };
    assert!(violations(&effects, ORDER, Ending::Whole).is_empty());
}

#[rstest]
#[case::by_one_instance(&[service(&[("POST /cut-orders/1", 2)], &[])], 1)]
#[case::by_two_instances(
    &[service(&[("POST /cut-orders/1", 1)], &[]), service(&[("POST /cut-orders/1", 1)], &[])],
    1
)]
#[case::under_one_key(&[service(&[], &[("cut-order-1", 2)])], 1)]
#[case::a_shelf_lookup(&[service(&[("GET /shelf/1", 9)], &[])], 0)]
fn repeated_execution_counted(#[case] services: &[ServiceEffects], #[case] expected: u64) {
    let effects = Effects {
        services: services.to_vec(),
        ..Effects::default()
    };
    assert_eq!(
        violations(&effects, ORDER, Ending::Whole).calls_run_again,
        expected
    );
}

#[rstest]
#[case::as_decided(&[engine(&[("m1", 2)], 0)], 0, 0)]
#[case::one_more_than_decided(&[engine(&[("m1", 2)], 0), engine(&[("m1", 1)], 0)], 1, 0)]
#[case::one_that_was_never_decided(&[engine(&[("m2", 1)], 0)], 1, 0)]
#[case::without_room(&[engine(&[], 3), engine(&[], 1)], 0, 4)]
fn excess_loads_counted(
    #[case] engines: &[EngineEffects],
    #[case] above_decided: u64,
    #[case] overcommitted: u64,
) {
    let effects = Effects {
        engines: engines.to_vec(),
        loads_decided: counts(&[("m1", 2)]),
        ..Effects::default()
    };
    let found = violations(&effects, ORDER, Ending::Whole);
    assert_eq!(found.loads_above_decided, above_decided);
    assert_eq!(found.overcommitted, overcommitted);
}

#[rstest]
#[case::not_run_but_at_an_engine("not_run", true, 1)]
#[case::not_run_and_nowhere("not_run", false, 0)]
#[case::unknown_and_at_an_engine("unknown", true, 0)]
fn untrue_refusal_counted(#[case] ran: &str, #[case] at_engine: bool, #[case] expected: u64) {
    let seen = EngineRequest {
        model: "m1".to_owned(),
        state: RequestState::Cancelled,
        runs: 1,
    };
    let identity = if at_engine { "req-1" } else { "req-2" };
    let engine = EngineEffects {
        requests: BTreeMap::from([(identity.to_owned(), seen)]),
        ..EngineEffects::default()
    };
    let effects = Effects {
        engines: vec![engine],
        ..Effects::default()
    };
    let found = violations(&effects, ORDER, refused(ran));
    assert_eq!(found.untrue_refusals, expected);
}

#[rstest]
#[case::whole(Ending::Whole, [0, 0, 0, 0])]
#[case::refused(refused("not_run"), [0, 0, 0, 0])]
#[case::cut(Ending::Cut(String::new()), [1, 0, 0, 0])]
#[case::foreign(Ending::Foreign(String::new()), [0, 1, 0, 0])]
#[case::missing(Ending::NoAnswer(String::new()), [0, 0, 1, 0])]
#[case::strange(Ending::Strange(500), [0, 0, 0, 1])]
fn bad_endings_counted(#[case] ending: Ending, #[case] expected: [u64; 4]) {
    let found = violations(&Effects::default(), ORDER, ending);
    let counted = [
        found.answers_cut,
        found.answers_foreign,
        found.answers_missing,
        found.answers_strange,
    ];
    assert_eq!(counted, expected);
}

#[rstest]
#[case::in_progress_there(0, 150, 160, Ending::Cut(String::new()), 0)]
#[case::at_another_vm(1, 150, 160, Ending::Cut(String::new()), 1)]
#[case::ended_before(0, 300, 310, Ending::Cut(String::new()), 1)]
#[case::sent_after(0, 50, 60, Ending::Cut(String::new()), 1)]
#[case::foreign_still_counts(0, 150, 160, Ending::Foreign(String::new()), 1)]
fn killed_vm_losses(
    #[case] vm: usize,
    #[case] from: u64,
    #[case] to: u64,
    #[case] ending: Ending,
    #[case] expected: u64,
) {
    let killed = KilledVm {
        vm,
        from: ms(from),
        to: ms(to),
    };
    let records = [record(ending)];
    let schedule = [planned(ORDER)];
    let found = Violations::count(&Effects::default(), &schedule, &records, Some(killed));
    assert_eq!(found.answers_cut + found.answers_foreign, expected);
}

#[test]
fn cache_fill_excluded() {
    let effects = Effects {
        engines: vec![engine(&[("m1", 2)], 0), engine(&[("m1", 1), ("m2", 4)], 0)],
        loads_before: counts(&[("m1", 1), ("m2", 1)]),
        ..Effects::default()
    };
    assert_eq!(effects.loads_done(), 5);
}
