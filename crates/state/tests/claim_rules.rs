//! Tests of the verdicts on claims and finishes, and of the limits of the claim table.

use rstest::rstest;

use apricotdale_core::claims::Claim;
use apricotdale_core::claims::ClaimBatch;
use apricotdale_core::claims::ClaimRecord;
use apricotdale_core::claims::Finish;
use apricotdale_core::claims::KeptAnswer;
use apricotdale_core::numbers::Offset;
use apricotdale_core::refusal::Ran;

use apricotdale_state::ClaimTable;
use apricotdale_state::IgnoreReason;
use apricotdale_state::claims::ClaimOptions;
use apricotdale_state::claims::ClaimVerdict;

fn claim(key: &str, request: &str, process_id: u64) -> ClaimRecord {
    ClaimRecord::Claim(Claim {
        key: key.into(),
        call_hash: 1,
        request: request.into(),
        vm: "vm".into(),
        process_id,
    })
}

fn answer(bytes: usize) -> KeptAnswer {
    KeptAnswer {
        status: 200,
        content_type: "t".to_owned(),
        body: vec![7; bytes],
    }
}

fn finish(key: &str, request: &str, ran: Ran, answer: Option<KeptAnswer>) -> ClaimRecord {
    ClaimRecord::Finish(Finish {
        key: key.into(),
        request: request.into(),
        ran,
        answer,
    })
}

fn options() -> ClaimOptions {
    ClaimOptions {
        remember_ms: 100,
        min_remember_ms: 50,
        max_keys: 3,
        max_tries: 2,
        max_answer_bytes: 10,
        max_kept_bytes: 25,
    }
}

fn apply(table: &mut ClaimTable, appended_ms: u64, entry: ClaimRecord) -> ClaimVerdict {
    let payload = ClaimBatch {
        entries: vec![entry],
    }
    .encode();
    let verdicts = table.apply(table.next_offset(), appended_ms, &payload);
    verdicts
        .expect("the record is a valid batch and the next one")
        .remove(0)
        .verdict
}

/// Returns a table in which request `r1` of process 1 has claimed key `k`, followed by finishes.
fn table_with(finishes: &[ClaimRecord]) -> ClaimTable {
    let mut table = ClaimTable::new(options());
    assert_eq!(
        apply(&mut table, 10, claim("k", "r1", 1)),
        ClaimVerdict::Won
    );
    for finish in finishes {
        apply(&mut table, 20, finish.clone());
    }
    table
}

#[rstest]
#[case::running(&[], ClaimVerdict::AlreadyRunning)]
#[case::finished(&[finish("k", "r1", Ran::Ran, Some(answer(4)))], ClaimVerdict::Finished(Some(answer(4))))]
#[case::large_answer(&[finish("k", "r1", Ran::Ran, Some(answer(40)))], ClaimVerdict::Finished(None))]
#[case::unknown(&[finish("k", "r1", Ran::Unknown, None)], ClaimVerdict::OutcomeUnknown)]
#[case::not_run(&[finish("k", "r1", Ran::NotRun, None)], ClaimVerdict::Won)]
#[case::not_run_by_another(&[finish("k", "r9", Ran::NotRun, None)], ClaimVerdict::AlreadyRunning)]
#[case::not_run_after_run(
    &[finish("k", "r1", Ran::Ran, None), finish("k", "r1", Ran::NotRun, None)],
    ClaimVerdict::Finished(None)
)]
#[case::late_answer(
    &[finish("k", "r1", Ran::Unknown, None), finish("k", "r1", Ran::Ran, Some(answer(4)))],
    ClaimVerdict::Finished(Some(answer(4)))
)]
fn second_claim_verdict(#[case] finishes: &[ClaimRecord], #[case] verdict: ClaimVerdict) {
    let mut table = table_with(finishes);
    assert_eq!(apply(&mut table, 30, claim("k", "r2", 2)), verdict);
}

#[test]
fn reused_key_rejected() {
    let mut table = table_with(&[]);
    let ClaimRecord::Claim(other) = claim("k", "r2", 2) else {
        return;
    };
    let other = ClaimRecord::Claim(Claim {
        call_hash: 2,
        ..other
    });
    assert_eq!(apply(&mut table, 30, other), ClaimVerdict::KeyReused);
}

/// Guards against a call that runs twice. Request r1 claims a key and frees it without running; r2
/// claims it and runs. The finish of r1 is appended again because the answer to its append was
/// lost. If that duplicate freed the key for r3, the call could run again.
#[test]
fn duplicate_finish_ignored() {
    let freed = finish("k", "r1", Ran::NotRun, None);
    let mut table = table_with(std::slice::from_ref(&freed));
    assert_eq!(
        apply(&mut table, 30, claim("k", "r2", 2)),
        ClaimVerdict::Won
    );
    assert_eq!(apply(&mut table, 30, freed), ClaimVerdict::NotHolder);
    assert_eq!(
        apply(&mut table, 30, claim("k", "r3", 3)),
        ClaimVerdict::AlreadyRunning
    );
}

/// Guards against a duplicate claim that holds a key for a request that has ended. If the request
/// used the claim, the duplicate of its first finish would free the key while it runs.
#[rstest]
#[case::still_holding(&[])]
#[case::after_it_was_freed(&[finish("k", "r1", Ran::NotRun, None)])]
fn duplicate_claim_rejected(#[case] finishes: &[ClaimRecord]) {
    let mut table = table_with(finishes);
    assert_eq!(
        apply(&mut table, 30, claim("k", "r1", 1)),
        ClaimVerdict::Repeated
    );
}

/// Guards against a call that runs twice because two processes give their requests the same ID.
#[test]
fn request_id_collision() {
    let mut table = table_with(&[]);
    assert_eq!(
        apply(&mut table, 30, claim("k", "r1", 2)),
        ClaimVerdict::AlreadyRunning
    );
}

#[test]
fn ended_holder_outcome() {
    let mut table = table_with(&[]);
    assert!(
        table
            .finishes_of_ended_processes(|process_id| process_id != 1)
            .is_empty()
    );
    let finishes = table.finishes_of_ended_processes(|process_id| process_id == 1);
    for finish in finishes {
        assert_eq!(
            apply(&mut table, 40, ClaimRecord::Finish(finish)),
            ClaimVerdict::Ended
        );
    }
    assert_eq!(
        apply(&mut table, 50, claim("k", "r2", 2)),
        ClaimVerdict::OutcomeUnknown
    );
}

#[test]
fn ended_keys_expire() {
    let mut table = table_with(&[finish("k", "r1", Ran::Ran, None)]);
    apply(&mut table, 20, claim("running", "r5", 5));
    assert_eq!(
        apply(&mut table, 120, claim("k", "r2", 2)),
        ClaimVerdict::Finished(None)
    );
    assert_eq!(
        apply(&mut table, 121, claim("k", "r3", 3)),
        ClaimVerdict::Won
    );
    let verdict = apply(&mut table, 99_999, claim("running", "r6", 6));
    assert_eq!(verdict, ClaimVerdict::AlreadyRunning);
}

/// The clock of the log may step back. Keys that were forgotten before stay forgotten on all VMs.
#[test]
fn clock_steps_back() {
    let mut table = table_with(&[finish("k", "r1", Ran::Ran, None)]);
    apply(&mut table, 500, claim("other", "r5", 5));
    assert_eq!(
        apply(&mut table, 30, claim("k", "r2", 2)),
        ClaimVerdict::Won
    );
}

#[test]
fn memory_is_bounded() {
    let mut table = ClaimTable::new(options());
    for key in ["k1", "k2", "k3"] {
        apply(&mut table, 10, claim(key, "r1", 1));
        apply(&mut table, 10, finish(key, "r1", Ran::Ran, Some(answer(9))));
    }
    assert_eq!(table.kept_bytes(), 20);
    assert_eq!(
        apply(&mut table, 20, claim("k1", "r2", 2)),
        ClaimVerdict::Finished(None)
    );
    let kept = ClaimVerdict::Finished(Some(answer(9)));
    assert_eq!(apply(&mut table, 20, claim("k3", "r2", 2)), kept);
    assert_eq!(
        apply(&mut table, 20, claim("k4", "r2", 2)),
        ClaimVerdict::TableFull
    );
    assert_eq!(
        apply(&mut table, 111, claim("k4", "r3", 2)),
        ClaimVerdict::Won
    );
    assert_eq!((table.len(), table.kept_bytes()), (1, 0));
}

#[test]
fn repeated_release_limit() {
    let mut table = ClaimTable::new(options());
    for request in ["r1", "r2"] {
        assert_eq!(
            apply(&mut table, 10, claim("k", request, 1)),
            ClaimVerdict::Won
        );
        apply(&mut table, 10, finish("k", request, Ran::NotRun, None));
    }
    assert_eq!(
        apply(&mut table, 10, claim("k", "r3", 1)),
        ClaimVerdict::TooManyTries
    );
}

/// Guards against a call that runs twice when a caller repeats it after all claims were lost. A
/// table that has lost its records can't tell whether a key is new.
#[test]
fn claims_after_loss() {
    let mut table = ClaimTable::after_loss(Offset(50), options());
    let unknown = ClaimVerdict::OutcomeUnknown;
    assert_eq!(apply(&mut table, 1_000, claim("k", "r1", 1)), unknown);
    assert_eq!(apply(&mut table, 1_050, claim("k", "r2", 1)), unknown);
    assert_eq!(
        apply(&mut table, 1_051, claim("k", "r3", 1)),
        ClaimVerdict::Won
    );
}

#[test]
fn records_in_order() {
    let mut table = table_with(&[]);
    let before = table.clone();
    assert_eq!(
        table.apply(Offset(0), 1, b"{}"),
        Err(IgnoreReason::AlreadyReplayed)
    );
    assert_eq!(table.apply(Offset(2), 1, b"{}"), Err(IgnoreReason::Gap));
    assert_eq!(table, before);
    assert_eq!(
        table.apply(Offset(1), 1, b"\x00"),
        Err(IgnoreReason::Undecodable)
    );
    assert_eq!(table.next_offset(), Offset(2));
}
