//! Configuration: concurrent publishers, lost answers, records that can't be used.

mod support;

use rstest::rstest;

use apricotdale_admin::ConfigView;
use apricotdale_admin::PublishOutcome;
use apricotdale_admin::PublishRequest;
use apricotdale_core::config::ClassTarget;
use apricotdale_core::config::ConfigChange;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::control::ControlRecord;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::numbers::Offset;

use support::log_fault::Append;
use support::log_fault::AppendFault;
use support::log_fault::ReadFault;
use support::node::Node;
use support::wait_until;
use support::world::Cluster;

fn put_class(class: &str, answer_within_ms: u64) -> ConfigEdit {
    ConfigEdit::PutClass(ClassTarget {
        class: class.into(),
        answer_within_ms,
    })
}

fn is_config(append: &Append<'_>) -> bool {
    matches!(append.control(), Some(ControlRecord::Config(_)))
}

/// Returns a daemon's configuration without the position that the daemon has replayed to.
fn config_of(node: &Node) -> ConfigView {
    let mut config = node.admin().config().expect("a configuration");
    config.replayed = Offset(0);
    config
}

fn has_class(node: &Node, class: &str) -> bool {
    let config = config_of(node);
    config.classes.iter().any(|one| one.class.as_str() == class)
}

fn accepted(outcome: &PublishOutcome) -> Option<ConfigVersion> {
    match outcome {
        PublishOutcome::Accepted { version } => Some(*version),
        _ => None,
    }
}

/// Guards against a change that silently reverts another, and against VMs with different
/// configurations. Two operators publish changes of one version at two VMs at once; the second one
/// must be rejected, since its base version is no longer in force.
#[test]
fn concurrent_changes_conflict() {
    let cluster = Cluster::start(3, 0, true);
    let held = cluster
        .world
        .log
        .fault_appends(AppendFault::Hold, usize::MAX, is_config);
    let outcomes: Vec<PublishOutcome> = std::thread::scope(|scope| {
        let publish = |node: usize| {
            let (node, base) = (&cluster.nodes[node], cluster.version);
            scope.spawn(move || node.publish(base, vec![put_class(&format!("by-{}", node.vm), 5)]))
        };
        let publishers = [publish(0), publish(1)];
        held.wait_hits(2);
        cluster.world.log.release(&held);
        let outcomes = publishers
            .into_iter()
            .map(|one| one.join().expect("an outcome"));
        outcomes.collect()
    });
    let versions: Vec<ConfigVersion> = outcomes.iter().filter_map(accepted).collect();
    assert_eq!(versions.len(), 1, "{outcomes:?}");
    let is_conflict = |one: &PublishOutcome| matches!(one, PublishOutcome::Rejected { reason, .. } if reason == "version_conflict");
    assert_eq!(outcomes.iter().filter(|one| is_conflict(one)).count(), 1);
    let winner = outcomes.iter().position(|one| accepted(one).is_some());
    for node in &cluster.nodes {
        node.wait_version(versions[0]);
        assert_eq!(node.status().config_version, versions[0]);
        for (number, publisher) in cluster.nodes[..2].iter().enumerate() {
            let class = format!("by-{}", publisher.vm);
            assert_eq!(has_class(node, &class), Some(number) == winner);
        }
    }
}

/// Guards against an accepted change that is lost or applied twice. The append's answer is lost,
/// and the operator's command retries the request; the VM must look for the record on the stream
/// and recognise the duplicate.
#[rstest]
#[case(AppendFault::LoseAnswer, true)]
#[case(AppendFault::LoseRecord, false)]
fn lost_publish_answer(#[case] fault: AppendFault, #[case] is_appended: bool) {
    let cluster = Cluster::start(2, 0, true);
    cluster.world.log.fault_appends(fault, 1, is_config);
    let request = PublishRequest {
        operator: "test".into(),
        change_id: Some(7),
        base_version: cluster.version,
        edits: vec![put_class("review", 60_000)],
    };
    let first = cluster.nodes[0]
        .admin()
        .publish(&request)
        .expect("an outcome");
    assert_eq!(accepted(&first).is_some(), is_appended, "{first:?}");
    assert!(is_appended || matches!(first, PublishOutcome::Unknown { change_id: 7, .. }));
    let again = cluster.nodes[1]
        .admin()
        .publish(&request)
        .expect("an outcome");
    let version = accepted(&again).expect("an accepted change");
    assert!(accepted(&first).is_none_or(|first| first == version));
    for node in &cluster.nodes {
        node.wait_version(version);
        assert_eq!(node.status().config_version, version);
    }
}

/// Guards against an older configuration after a restart of all VMs. Every daemon is killed and
/// restarted while the log answers slowly; none may accept requests before it has replayed all
/// changes.
#[test]
fn restart_keeps_configuration() {
    let mut cluster = Cluster::start(2, 1, true);
    let outcome = cluster.nodes[0].publish(cluster.version, vec![put_class("review", 60_000)]);
    let version = accepted(&outcome).expect("an accepted change");
    cluster.nodes.iter().for_each(|node| node.switch.pause());
    let slow = cluster
        .world
        .log
        .fault_reads(ReadFault::Hold, |read| read.follows_control());
    for vm in ["vm-0", "vm-1"] {
        let before = slow.hits();
        let node = cluster.add(vm);
        slow.wait_hits(before + 1);
        assert!(!node.caller.is_ready());
    }
    cluster.world.log.release(&slow);
    for node in &cluster.nodes[2..] {
        node.wait_ready();
        assert_eq!(node.status().config_version, version);
        assert!(has_class(node, "review"));
    }
    cluster.wait_handled(2);
}

/// Guards against VMs that stop at a record or disagree after it. The stream has a record that
/// can't be decoded and a change that breaks a rule; all VMs must skip both.
#[test]
fn unusable_records_skipped() {
    let mut cluster = Cluster::start(2, 1, true);
    let world = &cluster.world;
    let bad_change = ConfigChange {
        change_id: 7,
        operator: "test".into(),
        base_version: cluster.version,
        edits: vec![put_class("review", 60_000), put_class("never", 0)],
    };
    world.log.append_raw("control", b"\xff no record");
    world
        .log
        .append_raw("control", &ControlRecord::Config(bad_change).encode());
    world
        .log
        .append_raw("control", br#"{"config":{"unknown":1}}"#);
    let outcome = cluster.nodes[1].publish(cluster.version, vec![put_class("quickest", 5)]);
    let version = accepted(&outcome).expect("an accepted change");
    cluster.add("vm-2").wait_ready();
    let expected = config_of(&cluster.nodes[1]);
    for node in &cluster.nodes {
        node.wait_version(version);
        wait_until("the same configuration", || config_of(node) == expected);
        assert!(has_class(node, "quickest") && !has_class(node, "review"));
    }
    cluster.wait_handled(2);
}
