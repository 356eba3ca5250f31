//! The lease when its topic no longer keeps all records.

mod support;

use apricotdale_core::names::VmName;
use apricotdale_holder::Lease;
use apricotdale_holder::LeaseAction;
use apricotdale_holder::LeaseAnswer;
use apricotdale_holder::LeaseOptions;

use support::leases::append_at;
use support::leases::at;
use support::leases::record;

fn lease(name: &str, incarnation: u64) -> Lease {
    Lease::new(LeaseOptions::default(), VmName::from(name), incarnation)
}

/// Guards against mistaking the first kept record for the end of the topic.
#[test]
fn trimmed_topic_read() {
    let mut lease = lease("vm-a", 1);
    assert_eq!(lease.act(0), Some(LeaseAction::Read { from: 0 }));
    lease.answered(5, LeaseAnswer::Expired { first: at(40) });
    assert_eq!(lease.act(5), Some(LeaseAction::Read { from: 40 }));
    let newest = Some(record("vm-b", 7, 0));
    lease.answered(
        10,
        LeaseAnswer::Read {
            end: at(43),
            newest,
        },
    );
    assert_eq!(append_at(&mut lease, 10), None);
    let takeover_ms = 10 + LeaseOptions::default().duration_ms;
    assert_eq!(append_at(&mut lease, takeover_ms), Some(43));
}

/// Guards against repeated requests for a record that is no longer kept.
#[test]
fn empty_trimmed_topic() {
    let mut lease = lease("vm-a", 1);
    lease.act(0);
    lease.answered(5, LeaseAnswer::Expired { first: at(40) });
    assert_eq!(lease.act(5), Some(LeaseAction::Read { from: 40 }));
    let (end, newest) = (40, None);
    lease.answered(
        10,
        LeaseAnswer::Read {
            end: at(end),
            newest,
        },
    );
    let takeover_ms = 10 + LeaseOptions::default().duration_ms;
    assert_eq!(append_at(&mut lease, takeover_ms), Some(40));
}

/// Guards against requesting a record that the store does not have without a pause.
#[test]
fn shortened_topic_retried() {
    let mut lease = lease("vm-a", 1);
    lease.act(0);
    let newest = Some(record("vm-b", 7, 0));
    lease.answered(
        0,
        LeaseAnswer::Read {
            end: at(50),
            newest,
        },
    );
    lease.record_superseded(10);
    assert_eq!(lease.act(10), Some(LeaseAction::Read { from: 49 }));
    lease.answered(15, LeaseAnswer::Expired { first: at(12) });
    assert_eq!(lease.act(16), None);
    let pause_ms = LeaseOptions::default().renewal_interval_ms / 2;
    let again = lease.act(15 + pause_ms);
    assert_eq!(again, Some(LeaseAction::Read { from: 12 }));
}
