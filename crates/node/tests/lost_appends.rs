//! Decisions whose append gets no answer.

mod support;

use rstest::rstest;

use apricotdale_core::control::ControlRecord;

use support::log_fault::Append;
use support::log_fault::AppendFault;
use support::wait_until;
use support::world::Cluster;

/// Records of one load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Record {
    Intent,
    Settlement,
}

fn is_of(record: Record, append: &Append<'_>) -> bool {
    match record {
        Record::Intent => append.is_load(),
        Record::Settlement => append.is_load_settled(),
    }
}

/// Guards against a model that is loaded twice, or a replica that is never used. A record of the
/// load is appended, lost or delayed, and no answer shows which, so it is appended again; both
/// records together must count once.
#[rstest]
fn unanswered_record_counts_once(
    #[values(Record::Intent, Record::Settlement)] record: Record,
    #[values(AppendFault::LoseAnswer, AppendFault::LoseRecord, AppendFault::Delay)]
    fault: AppendFault,
) {
    let cluster = Cluster::start(2, 2, true);
    let world = &cluster.world;
    let model = cluster.model_preferring(0);
    let faulted = world
        .log
        .fault_appends(fault, 1, move |append| is_of(record, append));
    cluster.nodes[1].caller.complete(&model).expect_complete();
    faulted.wait_hits(1);
    world.log.release(&faulted);
    (0..2).for_each(|node| cluster.wait_handled(node));
    assert_eq!(world.accepted_loads(&model).len(), 1);
    assert_eq!(world.load_orders(&model), 1);
    assert_eq!((world.holders(&model), world.loaded(&model)), (1, 1));
    let decided = world.decided();
    let accepted = decided.iter().filter(|one| one.is_accepted());
    let settled = accepted.filter(|one| matches!(one.record, ControlRecord::LoadSettled(_)));
    // The model itself, and the one that each `wait_handled` has loaded.
    assert_eq!(settled.count(), 3);
}

/// Guards against a VM that counts as two, or never accepts requests. The append of its join gets
/// no answer, and it joins again; two join records of one process must give one epoch.
#[rstest]
fn unanswered_join_one_epoch(
    #[values(AppendFault::LoseAnswer, AppendFault::LoseRecord, AppendFault::Delay)]
    fault: AppendFault,
) {
    let mut cluster = Cluster::start(1, 1, true);
    let faulted = cluster.world.log.fault_appends(fault, 1, |append| {
        matches!(append.control(), Some(ControlRecord::Join(_)))
    });
    cluster.add("vm-1").wait_ready();
    faulted.wait_hits(1);
    cluster.world.log.release(&faulted);
    cluster.wait_handled(1);
    let joins = cluster.world.decided().into_iter().filter(|one| {
        let is_of_vm = |join: &ControlRecord| match join {
            ControlRecord::Join(join) => join.vm.as_str() == "vm-1",
            _ => false,
        };
        is_of_vm(&one.record) && one.is_accepted()
    });
    assert_eq!(joins.count(), 1);
    wait_until("the newcomer to be a member", || {
        let members = cluster.nodes[0].admin().members().expect("the members");
        members.members.len() == 2
    });
}
