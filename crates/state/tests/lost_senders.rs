//! Tests of loads whose sender ended, was paused or lost the answer, on engines that check fencing
//! tokens and on engines that accept every order.

mod common;

use rstest::rstest;

use apricotdale_core::control::SettledAs;
use apricotdale_core::engine::Residency;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::numbers::Offset;

use apricotdale_state::Accepted;
use apricotdale_state::RejectReason;
use apricotdale_state::Verdict;
use apricotdale_state::replicas::Stage;

use common::Stream;
use common::resident;

fn failed() -> SettledAs {
    SettledAs::Failed("not there".to_owned())
}

/// Returns a stream on which `a` has proposed a load of 60 bytes onto `e1`.
fn stream_with_load(checks_fence: bool) -> (Stream, Epoch, Epoch, Offset) {
    let (mut stream, a, b) = Stream::ready(checks_fence);
    let (load, verdict) = stream.load(a, "m1", "e1");
    assert!(verdict.is_accepted());
    (stream, a, b, load)
}

/// Takes a load over, raises the fence of `e1` to the offset of the takeover and observes the
/// engine. An engine that does not check fencing tokens ignores the token.
fn raise_fence(stream: &mut Stream, by: Epoch, load: Offset) {
    stream.take_over(by, load);
    let fence = stream.last_offset().0;
    let engine = stream.state.engine(&"e1".into());
    let checks_fence = engine.expect("the engine was observed").checks_fence;
    stream.observe(by, "e1", checks_fence, 1, 0, fence, &[]);
}

/// Guards against an order that takes effect after it was settled as without effect, on an engine
/// that checks fencing tokens. The sender is paused and another VM takes the load over. Its call to
/// raise the fence fails, but it reads the status, which does not show the model. Then the sender
/// resumes. The settlement alone does not prove that the fence was raised.
#[rstest]
#[case::paused_sender(false, Verdict::Rejected(RejectReason::SenderMayAct))]
#[case::ended_sender(true, Verdict::Accepted(Accepted::LoadLingers))]
fn unobserved_fence(#[case] has_ended: bool, #[case] expected: Verdict) {
    let (mut stream, a, b, load) = stream_with_load(true);
    if has_ended {
        stream.depart(b, "a", a);
    }
    stream.take_over(b, load);
    let verdict = stream.settle_load(b, load, failed(), Some((1, 0)));
    assert_eq!(verdict, expected);
    assert_eq!(stream.held_bytes("e1"), 60);
}

/// Guards against an engine that is overcommitted by an order that arrives minutes late. The sender
/// is paused before it sends. Another VM takes the load over and does not see it on the engine. If
/// it could settle the load, the memory would be reassigned. An engine that does not check fencing
/// tokens would still accept the order when the sender resumes.
#[test]
fn paused_sender_reservation() {
    let (mut stream, a, b, load) = stream_with_load(false);
    assert!(stream.take_over(b, load).is_accepted());
    let verdict = stream.settle_load(b, load, failed(), Some((1, 0)));
    assert_eq!(verdict, Verdict::Rejected(RejectReason::SenderMayAct));
    assert_eq!(stream.held_bytes("e1"), 60);
    // The sender resumes, sees that it no longer owns the load, and reports it as not sent.
    let verdict = stream.settle_load(a, load, SettledAs::Abandoned, None);
    assert_eq!(verdict, Verdict::Accepted(Accepted::LoadFreed));
    assert_eq!(stream.held_bytes("e1"), 0);
}

/// The same sequence on an engine that checks fencing tokens: its fence is raised, so the memory is
/// free at once. A restarted engine forgets the fence, so the order still counts against the memory
/// after a restart, and as a replica, until its sender has ended.
#[test]
fn fence_until_restart() {
    let (mut stream, a, b, load) = stream_with_load(true);
    raise_fence(&mut stream, b, load);
    let verdict = stream.settle_load(b, load, failed(), Some((1, 0)));
    assert_eq!(verdict, Verdict::Accepted(Accepted::LoadRevoked));
    assert_eq!(stream.stage(load), Some(Stage::Revoked));
    assert_eq!(stream.held_bytes("e1"), 0);
    assert_eq!(stream.state.replica_count(&"m1".into()), 1);
    let (_, verdict) = stream.load(b, "m1", "e1");
    assert_eq!(
        verdict,
        Verdict::Rejected(RejectReason::NoMemoryAfterRestart)
    );
    assert!(stream.load(b, "m2", "e1").1.is_accepted());

    stream.observe(b, "e1", true, 2, 0, 0, &[]);
    assert_eq!(stream.stage(load), Some(Stage::Reserved));
    assert_eq!(stream.held_bytes("e1"), 100);
    // The sender sends the order to the new incarnation, which accepts it.
    let verdict = stream.settle_load(a, load, SettledAs::Done, Some((2, 2)));
    assert_eq!(verdict, Verdict::Accepted(Accepted::Loaded));
}

#[rstest]
#[case::departed(false)]
#[case::superseded(true)]
fn lingering_order(#[case] superseded: bool) {
    let (mut stream, a, b, load) = stream_with_load(false);
    if superseded {
        let next = stream.join("a", 10);
        stream.observe(next, "e2", true, 1, 0, 0, &[]);
    } else {
        stream.depart(b, "a", a);
    }
    assert_eq!(stream.held_bytes("e1"), 60);
    // The sender may still have reached the new incarnation. Only a takeover after the sender's end
    // excludes that.
    stream.observe(b, "e1", false, 2, 0, 0, &[]);
    assert_eq!(stream.held_bytes("e1"), 60);
    stream.take_over(b, load);
    let verdict = stream.settle_load(b, load, failed(), Some((2, 0)));
    assert_eq!(verdict, Verdict::Accepted(Accepted::LoadLingers));
    assert_eq!(stream.stage(load), Some(Stage::Lingering));
    assert_eq!(stream.held_bytes("e1"), 60);
    stream.observe(b, "e1", false, 3, 0, 0, &[]);
    assert_eq!(stream.stage(load), None);
    assert_eq!(stream.held_bytes("e1"), 0);
}

#[test]
fn fence_ends_order() {
    let (mut stream, a, b, load) = stream_with_load(true);
    stream.depart(b, "a", a);
    raise_fence(&mut stream, b, load);
    let verdict = stream.settle_load(b, load, failed(), Some((1, 0)));
    assert_eq!(verdict, Verdict::Accepted(Accepted::LoadFreed));
    assert_eq!(stream.state.replica_count(&"m1".into()), 0);
}

/// Guards against an order that takes effect after it was settled as without effect. A VM takes the
/// load over while its sender runs, and reads the status. The sender then sends the order to the
/// next incarnation and ends. Its departure is appended, then the settlement. The status was read
/// before the sender's end, so it does not limit which incarnations the order can reach.
#[test]
fn takeover_too_old() {
    let (mut stream, a, b, load) = stream_with_load(false);
    stream.take_over(b, load);
    stream.depart(b, "a", a);
    let verdict = stream.settle_load(b, load, failed(), Some((1, 0)));
    assert_eq!(verdict, Verdict::Rejected(RejectReason::TakeOverTooOld));
    stream.take_over(b, load);
    let verdict = stream.settle_load(b, load, failed(), Some((1, 0)));
    assert_eq!(verdict, Verdict::Accepted(Accepted::LoadLingers));
}

#[test]
fn incarnation_observed_first() {
    let (mut stream, a, b, load) = stream_with_load(true);
    stream.depart(b, "a", a);
    stream.take_over(b, load);
    let verdict = stream.settle_load(b, load, failed(), Some((2, 0)));
    assert_eq!(verdict, Verdict::Rejected(RejectReason::RunNotObserved));
    stream.observe(b, "e1", true, 2, 0, load.0 + 1, &[]);
    let verdict = stream.settle_load(b, load, failed(), Some((2, 0)));
    assert_eq!(verdict, Verdict::Accepted(Accepted::LoadFreed));
}

/// A sender that lost the answer ends its attempt and takes over its own intent. Its report then
/// counts no more than that of another process, since the order may be queued in a connection.
#[rstest]
#[case::checks(true, Accepted::LoadFreed, 0)]
#[case::ignores_tokens(false, Accepted::LoadLingers, 60)]
fn own_load_takeover(
    #[case] checks_fence: bool,
    #[case] accepted: Accepted,
    #[case] held_bytes: u64,
) {
    let (mut stream, a, _, load) = stream_with_load(checks_fence);
    raise_fence(&mut stream, a, load);
    let verdict = stream.settle_load(a, load, failed(), Some((1, 0)));
    assert_eq!(verdict, Verdict::Accepted(accepted));
    assert_eq!(stream.held_bytes("e1"), held_bytes);
}

#[rstest]
#[case::checks(true)]
#[case::ignores_tokens(false)]
fn observed_load_settles(#[case] checks_fence: bool) {
    let (mut stream, a, b, load) = stream_with_load(checks_fence);
    let loading = [resident("m1", Residency::Loading, 60, load)];
    stream.observe(b, "e1", checks_fence, 1, 1, load.0, &loading);
    assert_eq!(stream.stage(load), Some(Stage::Loading));
    stream.depart(b, "a", a);
    let loaded = [resident("m1", Residency::Loaded, 60, load)];
    stream.observe(b, "e1", checks_fence, 1, 2, load.0, &loaded);
    assert_eq!(stream.stage(load), Some(Stage::Loaded));
}

/// An order is sent once. If the engine ended during the load, the order can have no other effect.
#[rstest]
#[case::same_incarnation(1, 2)]
#[case::next_incarnation(2, 0)]
fn observed_load_gone(#[case] boot: u64, #[case] sequence: u64) {
    let (mut stream, _, b, load) = stream_with_load(false);
    let loading = [resident("m1", Residency::Loading, 60, load)];
    stream.observe(b, "e1", false, 1, 1, load.0, &loading);
    stream.observe(b, "e1", false, boot, sequence, load.0, &[]);
    assert_eq!(stream.stage(load), None);
    assert_eq!(stream.held_bytes("e1"), 0);
}

/// Guards against an engine that is overcommitted right after a restart that no VM has observed. A
/// load of 60 bytes is proposed and its sender paused. The engine checks fencing tokens, its fence
/// is raised, 40 bytes are given to another load, and a second load of 60 is proposed. The engine
/// restarts and forgets its fence, and both senders of 60 resume. The new incarnation accepts what
/// the earlier one refused.
#[test]
fn restart_memory_fits() {
    let (mut stream, _, b, load) = stream_with_load(true);
    raise_fence(&mut stream, b, load);
    stream.settle_load(b, load, failed(), Some((1, 0)));
    stream.configure(vec![
        common::model("m3", None, 41),
        common::model("m4", None, 40),
    ]);
    let (_, verdict) = stream.load(b, "m3", "e1");
    assert_eq!(
        verdict,
        Verdict::Rejected(RejectReason::NoMemoryAfterRestart)
    );
    let loaded = stream.loaded(b, "m4", "e1", (1, 2));
    // A replica whose load took effect ends with the incarnation, so its memory is not counted.
    assert!(stream.load(b, "m2", "e1").1.is_accepted(), "{loaded}");
}

#[test]
fn own_refusal_frees() {
    let (mut stream, a, b, load) = stream_with_load(false);
    stream.take_over(b, load);
    let verdict = stream.settle_load(a, load, failed(), Some((1, 3)));
    assert_eq!(verdict, Verdict::Accepted(Accepted::LoadFreed));
    // A status from before the refusal arrives late and shows the order's effect again.
    let loading = [resident("m1", Residency::Loading, 60, load)];
    let verdict = stream.observe(b, "e1", false, 1, 2, load.0, &loading);
    assert_eq!(verdict, Verdict::Rejected(RejectReason::OldReading));
}

#[test]
fn abandon_after_effect() {
    let (mut stream, a, b, load) = stream_with_load(false);
    let loading = [resident("m1", Residency::Loading, 60, load)];
    stream.observe(b, "e1", false, 1, 1, load.0, &loading);
    let verdict = stream.settle_load(a, load, SettledAs::Abandoned, None);
    assert_eq!(verdict, Verdict::Rejected(RejectReason::OrderTookEffect));
}
