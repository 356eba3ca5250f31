//! A call to a plain service runs at most once unless it is idempotent.

mod support;

use apricotdale_core::Error;
use apricotdale_core::claims::KeptAnswer;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::serving::ClaimDecision;
use apricotdale_core::serving::ServingEvent;
use rstest::rstest;
use support::Bench;
use support::service::answer;

const BOOK: &str = "/services/booking-app/book?depot=fyn";
const STOCK: &str = "/services/booking-app/stock";
const KEY: &[(&str, &str)] = &[("Idempotency-Key", "k-1"), ("X-Caller", "fyn")];

/// Guards against a retry of a call whose outcome is unknown: the connection is lost after the call
/// was sent, and a retry would make the booking twice.
#[rstest]
#[case::without_a_key(&[])]
#[case::with_a_key(KEY)]
fn a_lost_call_is_unknown_and_not_repeated(#[case] headers: &[(&str, &str)]) {
    let bench = Bench::warm();
    bench.service.script(Err(Error::unknown("reset")));
    let told = bench.caller().call("POST", BOOK, headers, "{}");
    assert_eq!(
        told.refusal(),
        (502, "upstream_lost".to_owned(), "unknown".to_owned())
    );
    assert_eq!(bench.service.call_count(), 1);
}

#[rstest]
#[case::get("GET", BOOK, Error::unknown("reset"))]
#[case::listed_path("POST", STOCK, Error::unknown("reset"))]
#[case::certainly_not_received("POST", BOOK, Error::unavailable("refused"))]
fn a_call_that_can_not_run_twice_or_may_is_repeated(
    #[case] method: &str,
    #[case] path: &str,
    #[case] error: Error,
) {
    let bench = Bench::warm();
    bench.service.script(Err(error));
    let told = bench.caller().call(method, path, &[], "{}");
    assert_eq!(
        (told.status, told.body.as_str()),
        (200, r#"{"booked":true}"#)
    );
    assert_eq!(bench.service.call_count(), 2);
}

#[test]
fn the_whole_call_is_passed_on() {
    let bench = Bench::warm();
    let headers = [("Content-Type", "text/x-order"), ("Idempotency-Key", "k-1")];
    let told = bench.caller().call("PUT", BOOK, &headers, "six bolts");
    let call = bench.service.calls.lock()[0].clone();
    assert_eq!(
        (call.method.as_str(), call.path.as_str()),
        ("PUT", "/book?depot=fyn")
    );
    assert_eq!(
        (call.content_type.as_str(), &*call.body),
        ("text/x-order", &b"six bolts"[..])
    );
    assert_eq!(call.key.expect("a key").as_str(), "k-1");
    assert_eq!(Some(call.id.as_str()), told.header("x-request-id"));
}

/// Guards against an outcome that is derived from the refusal's reason instead of what was sent: a
/// failed booking could not be made again, or one that ran would be made again.
#[rstest]
#[case::answered(answer(201, "ok"), Ran::Ran, Some("ok"))]
#[case::answered_with_a_fault(answer(503, "later"), Ran::Ran, Some("later"))]
#[case::lost(Err(Error::unknown("reset")), Ran::Unknown, None)]
#[case::refused(Err(Error::rejected("no")), Ran::NotRun, None)]
fn the_claim_is_told_how_the_call_ended(
    #[case] result: apricotdale_core::Result<apricotdale_core::service::ServiceAnswer>,
    #[case] ran: Ran,
    #[case] kept: Option<&str>,
) {
    let bench = Bench::warm();
    for _ in 0..3 {
        bench.service.script(result.clone());
    }
    bench.caller().call("POST", BOOK, KEY, "{}");
    let (key, told_ran, told_answer) = bench.claims.finished.wait_for(|_| true);
    assert_eq!(key.as_str(), "booking-app/fyn/k-1");
    assert_eq!(told_ran, ran);
    let told_body = told_answer.map(|answer| String::from_utf8(answer.body).expect("text"));
    assert_eq!(told_body.as_deref(), kept);
}

#[test]
fn a_large_answer_is_not_kept() {
    let bench = Bench::warm();
    bench.service.script(answer(200, &"x".repeat(20_000)));
    let told = bench.caller().call("POST", BOOK, KEY, "{}");
    assert_eq!(told.body.len(), 20_000);
    let (_, ran, kept) = bench.claims.finished.wait_for(|_| true);
    assert_eq!((ran, kept), (Ran::Ran, None));
}

#[test]
fn a_repeated_call_gets_the_kept_answer() {
    let bench = Bench::warm();
    *bench.claims.decision.lock() = Some(ClaimDecision::Answer(KeptAnswer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: b"slot 7".to_vec(),
    }));
    let told = bench.caller().call("POST", BOOK, KEY, "{}");
    assert_eq!((told.status, told.body.as_str()), (201, "slot 7"));
    assert_eq!(told.header("idempotency-replayed"), Some("true"));
    assert_eq!(bench.service.call_count(), 0);
    assert!(bench.claims.finished.all().is_empty());
}

#[rstest]
#[case::in_progress(RefusalReason::KeyInProgress, 409)]
#[case::reused(RefusalReason::KeyReused, 422)]
#[case::already_ran(RefusalReason::KeyAlreadyRan, 409)]
#[case::outcome_unknown(RefusalReason::KeyOutcomeUnknown, 409)]
#[case::log_down(RefusalReason::LogUnavailable, 503)]
fn a_refused_claim_sends_nothing(#[case] reason: RefusalReason, #[case] status: u16) {
    let bench = Bench::warm();
    let refusal = Refusal::unknown(reason, "claimed");
    *bench.claims.decision.lock() = Some(ClaimDecision::Refuse(refusal));
    let told = bench.caller().call("POST", BOOK, KEY, "{}");
    let expected = (status, reason.to_string(), "unknown".to_owned());
    assert_eq!(told.refusal(), expected);
    assert_eq!(bench.service.call_count(), 0);
}

#[test]
fn the_same_key_with_another_call_has_another_hash() {
    let bench = Bench::warm();
    let mut caller = bench.caller();
    for (path, body) in [
        (BOOK, "a"),
        (BOOK, "a"),
        (BOOK, "b"),
        ("/services/booking-app/book", "a"),
    ] {
        assert_eq!(caller.call("POST", path, KEY, body).status, 200);
    }
    let asked = bench.claims.asked.all();
    let hashes: Vec<u64> = asked.iter().map(|ask| ask.call_hash).collect();
    assert_eq!(hashes[0], hashes[1]);
    assert!(
        hashes[1] != hashes[2] && hashes[1] != hashes[3],
        "{hashes:?}"
    );
}

/// Guards against a call that is given up together with its caller: its outcome would never be
/// recorded, and the caller would find its key in progress for ever. The caller hangs up or times
/// out while the call under its key runs.
#[rstest]
#[case::hung_up(true)]
#[case::out_of_time(false)]
fn an_outcome_is_recorded_though_nobody_waits(#[case] hangs_up: bool) {
    let bench = Bench::warm();
    *bench.service.holds.lock() = true;
    let mut caller = bench.caller();
    let mut headers = KEY.to_vec();
    headers.push((
        "X-Request-Timeout-Ms",
        if hangs_up { "20000" } else { "500" },
    ));
    caller.send("POST", BOOK, &headers, "{}");
    bench.service.wait_held();
    match hangs_up {
        true => drop(caller),
        false => {
            let told = caller.answer().refusal();
            assert_eq!(
                told,
                (504, "deadline_passed".to_owned(), "unknown".to_owned())
            );
        }
    }
    let refused = |event: &_| matches!(event, ServingEvent::Refused { .. });
    bench.observer.0.wait_for(refused);
    assert!(bench.gateway.in_progress() > 0, "the call is still awaited");
    bench.service.release.0.send(()).expect("the service holds");
    bench.settle();
    let (_, ran, kept) = bench.claims.finished.wait_for(|_| true);
    assert_eq!(ran, Ran::Ran);
    assert!(kept.is_some());
    assert_eq!(bench.observer.refusals().len(), 1);
}

#[test]
fn a_service_without_instances_refuses_at_once() {
    let bench = Bench::warm();
    bench.directory.instances.lock().clear();
    let told = bench.caller().call("GET", STOCK, &[], "");
    let expected = (502, "upstream_unavailable".to_owned(), "not_run".to_owned());
    assert_eq!(told.refusal(), expected);
    assert_eq!(told.header("retry-after"), Some("1"));
}

/// Guards against a sender that does not check whether its request was given up: the claim takes
/// longer than the request's timeout and is then won. The booking would be made although the caller
/// was answered "not run".
#[rstest]
#[case::out_of_time(false)]
#[case::hung_up(true)]
fn a_call_given_up_before_its_claim_is_won_is_not_sent(#[case] hangs_up: bool) {
    let bench = Bench::warm();
    let hold = bench.claims.hold.lock();
    let mut caller = bench.caller();
    let mut headers = KEY.to_vec();
    headers.push((
        "X-Request-Timeout-Ms",
        if hangs_up { "20000" } else { "500" },
    ));
    caller.send("POST", BOOK, &headers, "{}");
    bench.claims.asked.wait_for(|_| true);
    if hangs_up {
        drop(caller);
    }
    let refused = |event: &_| matches!(event, ServingEvent::Refused { .. });
    bench.observer.0.wait_for(refused);
    assert_eq!(bench.observer.refusals()[0].1, Ran::NotRun);
    drop(hold);
    bench.settle();
    assert_eq!(
        bench.service.call_count(),
        0,
        "a call that was told not to have run"
    );
    let (_, ran, kept) = bench.claims.finished.wait_for(|_| true);
    assert_eq!((ran, kept), (Ran::NotRun, None));
}
