//! Publishes configuration changes and waits for the verdict.

use std::sync::Arc;
use std::time::Duration;

use apricotdale_admin::PublishOutcome;
use apricotdale_admin::PublishRequest;
use apricotdale_core::Error;
use apricotdale_core::config::ConfigChange;
use apricotdale_core::control::ControlRecord;
use apricotdale_core::log::LogClient;
use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::numbers::Offset;
use apricotdale_state::Accepted;
use apricotdale_state::IgnoreReason;
use apricotdale_state::RejectReason;
use apricotdale_state::Verdict;

use crate::replayed::Replayed;
use crate::streams::Pace;

/// Timeout of a change's replay: configuration has to be in force within seconds.
const REPLAY_WAIT: Duration = Duration::from_secs(5);

/// Appends configuration changes for operators.
pub struct Publisher {
    /// Name of the control stream.
    pub stream: StreamName,
    /// Client of the platform's log.
    pub log: Arc<dyn LogClient>,
    /// Control state replayed from the control stream.
    pub replayed: Arc<Replayed>,
    /// Read pacing of the control stream.
    pub pace: Pace,
}

impl Publisher {
    /// Appends a change and waits until it is replayed.
    pub fn publish(&self, request: &PublishRequest) -> PublishOutcome {
        let change = ConfigChange {
            change_id: request.change_id.unwrap_or_else(rand::random),
            operator: request.operator.clone(),
            base_version: request.base_version,
            edits: request.edits.clone(),
        };
        if let Some(verdict) = self.verdict(change.change_id) {
            return publish_outcome(&verdict, change.change_id);
        }
        if let Some(rejected) = self.check(&change) {
            return rejected;
        }
        self.await_first_record();
        let change_id = change.change_id;
        let payload = ControlRecord::Config(change).encode();
        self.pace.follow_closely();
        match self.log.append(&self.stream, &payload) {
            Ok(_) => self.await_verdict(change_id),
            Err(error @ (Error::Unknown(_) | Error::Malformed(_))) => {
                match self.await_verdict(change_id) {
                    PublishOutcome::Unknown { .. } => PublishOutcome::Unknown {
                        change_id,
                        detail: format!("the append's answer was lost: {error}"),
                    },
                    known => known,
                }
            }
            Err(error) => PublishOutcome::Rejected {
                reason: "log_unavailable".into(),
                detail: format!("the change was not appended: {error}"),
            },
        }
    }

    /// Returns a rejection if the change can't be accepted. The check saves a record on the stream;
    /// replay decides again.
    fn check(&self, change: &ConfigChange) -> Option<PublishOutcome> {
        if !self.replayed.is_caught_up() {
            return Some(PublishOutcome::Rejected {
                reason: "not_ready".into(),
                detail: "this VM has not yet learned the configuration in force".into(),
            });
        }
        let (version, fault) = self
            .replayed
            .read(|state| (state.config().version(), state.config().validate(change)));
        match fault {
            _ if version > change.base_version => Some(version_conflict(version)),
            Some(fault) => Some(PublishOutcome::Rejected {
                reason: fault.as_str().into(),
                detail: fault.to_string(),
            }),
            None => None,
        }
    }

    /// Waits until the stream has a first record. Version zero means that nothing was published, so
    /// replay rejects a change at offset zero; the joins of the VMs come before it.
    fn await_first_record(&self) {
        self.replayed.wait_for(REPLAY_WAIT, |state| {
            (state.next_offset() > Offset(0)).then_some(())
        });
    }

    fn verdict(&self, change_id: u64) -> Option<Verdict> {
        self.replayed
            .read(|state| state.change(change_id).map(|change| change.verdict.clone()))
    }

    fn await_verdict(&self, change_id: u64) -> PublishOutcome {
        let verdict = self.replayed.wait_for(REPLAY_WAIT, |state| {
            state.change(change_id).map(|change| change.verdict.clone())
        });
        match verdict {
            Some(verdict) => publish_outcome(&verdict, change_id),
            None => PublishOutcome::Unknown {
                change_id,
                detail: "the change was appended but not replayed in time".into(),
            },
        }
    }
}

fn publish_outcome(verdict: &Verdict, change_id: u64) -> PublishOutcome {
    match verdict {
        Verdict::Accepted(Accepted::Configured(version)) => {
            PublishOutcome::Accepted { version: *version }
        }
        Verdict::Rejected(RejectReason::VersionConflict) => PublishOutcome::Rejected {
            reason: RejectReason::VersionConflict.as_str().into(),
            detail: "another change was accepted since the version this one is based on".into(),
        },
        Verdict::Rejected(RejectReason::InvalidChange(fault)) => PublishOutcome::Rejected {
            reason: fault.as_str().into(),
            detail: fault.to_string(),
        },
        Verdict::Ignored(IgnoreReason::RepeatedChange) | Verdict::Accepted(_) => {
            PublishOutcome::Unknown {
                change_id,
                detail: "the change was decided before".into(),
            }
        }
        Verdict::Rejected(_) | Verdict::Ignored(_) => PublishOutcome::Rejected {
            reason: verdict.as_str().into(),
            detail: "the change was rejected".into(),
        },
    }
}

fn version_conflict(version: ConfigVersion) -> PublishOutcome {
    PublishOutcome::Rejected {
        reason: RejectReason::VersionConflict.as_str().into(),
        detail: format!("version {version} is in force; read it and base the change on it"),
    }
}
