//! Which claims win and what the others are told.

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
        least_ms: 50,
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
        .expect("the record is a batch and the next one")
        .remove(0)
        .verdict
}

/// Returns a table on which request `r1` of process 1 holds key `k`, after some finishes.
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
#[case::not_run_after_all(
    &[finish("k", "r1", Ran::Ran, None), finish("k", "r1", Ran::NotRun, None)],
    ClaimVerdict::Finished(None)
)]
#[case::late_answer(
    &[finish("k", "r1", Ran::Unknown, None), finish("k", "r1", Ran::Ran, Some(answer(4)))],
    ClaimVerdict::Finished(Some(answer(4)))
)]
fn a_second_request_is_told_what_became_of_the_first(
    #[case] finishes: &[ClaimRecord],
    #[case] verdict: ClaimVerdict,
) {
    let mut table = table_with(finishes);
    assert_eq!(apply(&mut table, 30, claim("k", "r2", 2)), verdict);
}

#[test]
fn a_key_with_another_call_is_refused() {
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

/// Symptom: a cut order is carried out twice.
/// Sequence: request r1 claims, does not run and frees the key; r2 claims and runs; the finish of
/// r1, whose append's answer was lost, lands once more; r3 claims.
/// Cause: a finish that frees the key for whoever holds it.
#[test]
fn a_repeated_finish_does_not_free_anothers_claim() {
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

/// Symptom: a key is blocked by a request that ended long ago, or, if the request tries again
/// under its own name, is freed by the repetition of its first finish while it runs.
#[rstest]
#[case::still_holding(&[])]
#[case::after_it_was_freed(&[finish("k", "r1", Ran::NotRun, None)])]
fn a_repeated_claim_wins_nothing(#[case] finishes: &[ClaimRecord]) {
    let mut table = table_with(finishes);
    assert_eq!(
        apply(&mut table, 30, claim("k", "r1", 1)),
        ClaimVerdict::Repeated
    );
}

/// Symptom: a call runs twice because two processes name their requests alike.
#[test]
fn a_request_of_the_same_name_in_another_process_is_another() {
    let mut table = table_with(&[]);
    assert_eq!(
        apply(&mut table, 30, claim("k", "r1", 2)),
        ClaimVerdict::AlreadyRunning
    );
}

#[test]
fn a_dead_winner_leaves_an_unknown_outcome() {
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
fn an_ended_key_is_remembered_for_its_time_and_a_running_one_until_it_ends() {
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

/// The log's clock may step back; what was forgotten by then stays forgotten everywhere alike.
#[test]
fn time_does_not_go_back() {
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
fn a_key_that_is_freed_again_and_again_is_refused() {
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

/// Symptom: a caller repeats a call after a total loss of the claims, and it runs twice.
/// Cause: a table that has lost its records takes every key for new.
#[test]
fn a_table_that_lost_its_records_lets_nothing_run_for_a_time() {
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
fn records_count_once_and_in_order() {
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
