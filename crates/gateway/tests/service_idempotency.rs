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
use support::Fixture;
use support::service::answer;

const BOOK: &str = "/services/booking-app/book?depot=fyn";
const STOCK: &str = "/services/booking-app/stock";
const KEY: &[(&str, &str)] = &[("Idempotency-Key", "k-1"), ("X-Caller", "fyn")];

/// Guards against a retry of a call whose outcome is unknown: the connection is lost after the call
/// was sent, and a retry would make the booking twice.
#[rstest]
#[case::without_a_key(&[])]
#[case::with_a_key(KEY)]
fn lost_call_not_retried(#[case] headers: &[(&str, &str)]) {
    let fixture = Fixture::warm();
    fixture.service.script(Err(Error::unknown("reset")));
    let received = fixture.caller().call("POST", BOOK, headers, "{}");
    assert_eq!(
        received.refusal(),
        (502, "upstream_lost".to_owned(), "unknown".to_owned())
    );
    assert_eq!(fixture.service.call_count(), 1);
}

#[rstest]
#[case::get("GET", BOOK, Error::unknown("reset"))]
#[case::listed_path("POST", STOCK, Error::unknown("reset"))]
#[case::certainly_not_received("POST", BOOK, Error::unavailable("refused"))]
fn safe_call_retried(#[case] method: &str, #[case] path: &str, #[case] error: Error) {
    let fixture = Fixture::warm();
    fixture.service.script(Err(error));
    let received = fixture.caller().call(method, path, &[], "{}");
    assert_eq!(
        (received.status, received.body.as_str()),
        (200, r#"{"booked":true}"#)
    );
    assert_eq!(fixture.service.call_count(), 2);
}

#[test]
fn call_forwarded() {
    let fixture = Fixture::warm();
    let headers = [("Content-Type", "text/x-order"), ("Idempotency-Key", "k-1")];
    let received = fixture.caller().call("PUT", BOOK, &headers, "six bolts");
    let call = fixture.service.calls.lock()[0].clone();
    assert_eq!(
        (call.method.as_str(), call.path.as_str()),
        ("PUT", "/book?depot=fyn")
    );
    assert_eq!(
        (call.content_type.as_str(), &*call.body),
        ("text/x-order", &b"six bolts"[..])
    );
    assert_eq!(call.key.expect("a key").as_str(), "k-1");
    assert_eq!(Some(call.id.as_str()), received.header("x-request-id"));
}

/// Guards against an outcome that is derived from the refusal's reason instead of what was sent: a
/// failed booking could not be made again, or one that ran would be made again.
#[rstest]
#[case::answered(answer(201, "ok"), Ran::Ran, Some("ok"))]
#[case::answered_with_a_fault(answer(503, "later"), Ran::Ran, Some("later"))]
#[case::lost(Err(Error::unknown("reset")), Ran::Unknown, None)]
#[case::refused(Err(Error::rejected("no")), Ran::NotRun, None)]
fn claim_outcome(
    #[case] result: apricotdale_core::Result<apricotdale_core::service::ServiceAnswer>,
    #[case] ran: Ran,
    #[case] kept: Option<&str>,
) {
    let fixture = Fixture::warm();
    for _ in 0..3 {
        fixture.service.script(result.clone());
    }
    fixture.caller().call("POST", BOOK, KEY, "{}");
    let (key, recorded_ran, recorded_answer) = fixture.claims.finished.wait_for(|_| true);
    assert_eq!(key.as_str(), "booking-app/fyn/k-1");
    assert_eq!(recorded_ran, ran);
    let recorded_body = recorded_answer.map(|answer| String::from_utf8(answer.body).expect("text"));
    assert_eq!(recorded_body.as_deref(), kept);
}

#[test]
fn large_answer_not_kept() {
    let fixture = Fixture::warm();
    fixture.service.script(answer(200, &"x".repeat(20_000)));
    let received = fixture.caller().call("POST", BOOK, KEY, "{}");
    assert_eq!(received.body.len(), 20_000);
    let (_, ran, kept) = fixture.claims.finished.wait_for(|_| true);
    assert_eq!((ran, kept), (Ran::Ran, None));
}

#[test]
fn duplicate_call_replayed() {
    let fixture = Fixture::warm();
    *fixture.claims.decision.lock() = Some(ClaimDecision::Answer(KeptAnswer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: b"slot 7".to_vec(),
    }));
    let received = fixture.caller().call("POST", BOOK, KEY, "{}");
    assert_eq!((received.status, received.body.as_str()), (201, "slot 7"));
    assert_eq!(received.header("idempotency-replayed"), Some("true"));
    assert_eq!(fixture.service.call_count(), 0);
    assert!(fixture.claims.finished.all().is_empty());
}

#[rstest]
#[case::in_progress(RefusalReason::KeyInProgress, 409)]
#[case::reused(RefusalReason::KeyReused, 422)]
#[case::already_ran(RefusalReason::KeyAlreadyRan, 409)]
#[case::outcome_unknown(RefusalReason::KeyOutcomeUnknown, 409)]
#[case::log_down(RefusalReason::LogUnavailable, 503)]
fn refused_claim(#[case] reason: RefusalReason, #[case] status: u16) {
    let fixture = Fixture::warm();
    let refusal = Refusal::unknown(reason, "claimed");
    *fixture.claims.decision.lock() = Some(ClaimDecision::Refuse(refusal));
    let received = fixture.caller().call("POST", BOOK, KEY, "{}");
    let expected = (status, reason.to_string(), "unknown".to_owned());
    assert_eq!(received.refusal(), expected);
    assert_eq!(fixture.service.call_count(), 0);
}

#[test]
fn call_hash_differs() {
    let fixture = Fixture::warm();
    let mut caller = fixture.caller();
    for (path, body) in [
        (BOOK, "a"),
        (BOOK, "a"),
        (BOOK, "b"),
        ("/services/booking-app/book", "a"),
    ] {
        assert_eq!(caller.call("POST", path, KEY, body).status, 200);
    }
    let asked = fixture.claims.asked.all();
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
fn abandoned_call_recorded(#[case] hangs_up: bool) {
    let fixture = Fixture::warm();
    *fixture.service.holds.lock() = true;
    let mut caller = fixture.caller();
    let mut headers = KEY.to_vec();
    headers.push((
        "X-Request-Timeout-Ms",
        if hangs_up { "20000" } else { "500" },
    ));
    caller.send("POST", BOOK, &headers, "{}");
    fixture.service.wait_held();
    match hangs_up {
        true => drop(caller),
        false => {
            let received = caller.answer().refusal();
            assert_eq!(
                received,
                (504, "deadline_passed".to_owned(), "unknown".to_owned())
            );
        }
    }
    let refused = |event: &_| matches!(event, ServingEvent::Refused { .. });
    fixture.observer.0.wait_for(refused);
    assert!(
        fixture.gateway.in_progress() > 0,
        "the call is still awaited"
    );
    fixture
        .service
        .release
        .0
        .send(())
        .expect("the service holds");
    fixture.wait_idle();
    let (_, ran, kept) = fixture.claims.finished.wait_for(|_| true);
    assert_eq!(ran, Ran::Ran);
    assert!(kept.is_some());
    assert_eq!(fixture.observer.refusals().len(), 1);
}

#[test]
fn no_service_instance() {
    let fixture = Fixture::warm();
    fixture.directory.instances.lock().clear();
    let received = fixture.caller().call("GET", STOCK, &[], "");
    let expected = (502, "upstream_unavailable".to_owned(), "not_run".to_owned());
    assert_eq!(received.refusal(), expected);
    assert_eq!(received.header("retry-after"), Some("1"));
}

/// Guards against a sender that does not check whether its request was given up: the claim takes
/// longer than the request's timeout and is then won. The booking would be made although the caller
/// was answered "not run".
#[rstest]
#[case::out_of_time(false)]
#[case::hung_up(true)]
fn abandoned_claim_unsent(#[case] hangs_up: bool) {
    let fixture = Fixture::warm();
    let hold = fixture.claims.hold.lock();
    let mut caller = fixture.caller();
    let mut headers = KEY.to_vec();
    headers.push((
        "X-Request-Timeout-Ms",
        if hangs_up { "20000" } else { "500" },
    ));
    caller.send("POST", BOOK, &headers, "{}");
    fixture.claims.asked.wait_for(|_| true);
    if hangs_up {
        drop(caller);
    }
    let refused = |event: &_| matches!(event, ServingEvent::Refused { .. });
    fixture.observer.0.wait_for(refused);
    assert_eq!(fixture.observer.refusals()[0].1, Ran::NotRun);
    drop(hold);
    fixture.wait_idle();
    assert_eq!(
        fixture.service.call_count(),
        0,
        "a call that was reported as not run"
    );
    let (_, ran, kept) = fixture.claims.finished.wait_for(|_| true);
    assert_eq!((ran, kept), (Ran::NotRun, None));
}
