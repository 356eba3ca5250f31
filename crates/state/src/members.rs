//! Daemon processes that have joined.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use apricotdale_core::control::Join;
use apricotdale_core::control::Proposer;
use apricotdale_core::names::VmName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::numbers::Epoch;

use crate::verdict::IgnoreReason;
use crate::verdict::RejectReason;

/// Number of processes of one VM that may have joined without having appended a record since.
const MAX_UNCONFIRMED_PER_VM: usize = 8;

/// Minimum age of an event, relative to the time of a VM list, for the list to apply to it, in
/// milliseconds. Covers the difference between the clocks of the platform's services.
pub const LIST_CLOCK_MARGIN_MS: u64 = 5_000;

/// One daemon process that has joined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Offset of its join record.
    pub epoch: Epoch,
    /// Availability zone of its VM.
    pub zone: ZoneName,
    /// Random identity that the process chose when it started.
    pub process_id: u64,
    /// Time at which the log appended its join record, in milliseconds of Unix time.
    pub joined_ms: u64,
    /// Sequence of its last record; `None` before the first.
    pub last_sequence: Option<u64>,
}

/// Processes of one VM: the current one, and later ones that have joined but appended no record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct VmMembers {
    current: Option<Member>,
    unconfirmed: Vec<Member>,
}

/// Status of the process that appended a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProposerStatus {
    /// The process is the current one of its VM.
    Current,
    /// The process has just replaced the one with this epoch, as the record is its first.
    Supersedes(Epoch),
    /// The process has appended a record with this or a higher sequence before.
    Repeated,
}

/// Daemon processes that have joined, by VM.
///
/// A join alone does not end the earlier process of the VM. An append whose answer was lost can
/// reach the stream long after its process has died, and would then end a later process that is
/// alive and may still send an order; two orders could then take the same memory. A joined process
/// therefore replaces the earlier one only with its first record. That record carries its epoch,
/// which the process knows only after it has read its own join from the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    vms: BTreeMap<VmName, VmMembers>,
}

impl Members {
    /// Returns the newest process of each VM, whether current or not.
    pub fn newest(&self) -> impl Iterator<Item = (&VmName, &Member)> {
        self.vms
            .iter()
            .filter_map(|(vm, members)| Some((vm, members.newest()?)))
    }

    /// Returns the epoch of a process; `None` if it has not joined or has ended.
    pub fn epoch_of(&self, vm: &VmName, process_id: u64) -> Option<Epoch> {
        let members = self.vms.get(vm)?;
        let member = members
            .all()
            .find(|member| member.process_id == process_id)?;
        Some(member.epoch)
    }

    /// Returns whether records of the process with this epoch are accepted.
    pub fn is_current(&self, epoch: Epoch) -> bool {
        let mut current = self
            .vms
            .values()
            .filter_map(|members| members.current.as_ref());
        current.any(|member| member.epoch == epoch)
    }

    /// Returns the epochs of a VM's processes that may be proposed as departed, given that the VM
    /// list of the time `as_of_ms` shows the VM as gone.
    ///
    /// The list is delayed: a VM that was replaced under the same name may still be listed as gone
    /// while its new process runs. Ending that process would free the memory of orders that it may
    /// still send. The times of the list and of the log both come from the platform, so a process
    /// is returned only if it joined more than [`LIST_CLOCK_MARGIN_MS`] before the list's time.
    pub fn departable_epochs(&self, vm: &VmName, as_of_ms: u64) -> Vec<Epoch> {
        let joined_before_ms = as_of_ms.saturating_sub(LIST_CLOCK_MARGIN_MS);
        let members = self.vms.get(vm).into_iter().flat_map(VmMembers::all);
        let departable = members.filter(|member| member.joined_ms < joined_before_ms);
        departable.map(|member| member.epoch).collect()
    }

    /// Returns whether a process has joined and has not ended.
    pub fn has_process(&self, process_id: u64) -> bool {
        let mut all = self.vms.values().flat_map(VmMembers::all);
        all.any(|member| member.process_id == process_id)
    }

    /// Adds a process that has joined.
    pub(crate) fn join(
        &mut self,
        join: &Join,
        epoch: Epoch,
        joined_ms: u64,
    ) -> Result<(), IgnoreReason> {
        let members = self.vms.entry(join.vm.clone()).or_default();
        // A join that was appended twice must not give its process a second epoch: the orders of
        // the first epoch would count as those of an ended process, which still sends.
        if members
            .all()
            .any(|member| member.process_id == join.process_id)
        {
            return Err(IgnoreReason::RepeatedJoin);
        }
        let member = Member {
            epoch,
            zone: join.zone.clone(),
            process_id: join.process_id,
            joined_ms,
            last_sequence: None,
        };
        members.add(member);
        Ok(())
    }

    /// Checks the proposer of a record, records its sequence, and makes its process the current one
    /// of the VM if the record is the first of a later process.
    pub(crate) fn admit_proposer(
        &mut self,
        proposer: &Proposer,
    ) -> Result<ProposerStatus, RejectReason> {
        let members = self
            .vms
            .get_mut(&proposer.vm)
            .ok_or(RejectReason::NotMember)?;
        let superseded = members.confirm(proposer.epoch);
        let current = members.current.as_mut().ok_or(RejectReason::NotMember)?;
        if current.epoch != proposer.epoch {
            return Err(RejectReason::StaleEpoch);
        }
        if current
            .last_sequence
            .is_some_and(|last| proposer.sequence <= last)
        {
            return Ok(ProposerStatus::Repeated);
        }
        current.last_sequence = Some(proposer.sequence);
        Ok(superseded.map_or(ProposerStatus::Current, ProposerStatus::Supersedes))
    }

    /// Removes a process that can no longer act.
    pub(crate) fn depart(&mut self, vm: &VmName, epoch: Epoch) -> Result<(), RejectReason> {
        let members = self.vms.get_mut(vm).ok_or(RejectReason::UnknownProcess)?;
        if !members.all().any(|member| member.epoch == epoch) {
            return Err(RejectReason::UnknownProcess);
        }
        members.unconfirmed.retain(|member| member.epoch != epoch);
        members.current.take_if(|member| member.epoch == epoch);
        if members.all().next().is_none() {
            self.vms.remove(vm);
        }
        Ok(())
    }
}

impl VmMembers {
    fn all(&self) -> impl Iterator<Item = &Member> {
        self.current.iter().chain(&self.unconfirmed)
    }

    fn newest(&self) -> Option<&Member> {
        self.unconfirmed.last().or(self.current.as_ref())
    }

    fn add(&mut self, member: Member) {
        if self.current.is_none() && self.unconfirmed.is_empty() {
            self.current = Some(member);
            return;
        }
        if self.unconfirmed.len() == MAX_UNCONFIRMED_PER_VM {
            self.unconfirmed.remove(0);
        }
        self.unconfirmed.push(member);
    }

    /// Makes an unconfirmed process the current one and returns the epoch of the one it replaces.
    fn confirm(&mut self, epoch: Epoch) -> Option<Epoch> {
        let index = self
            .unconfirmed
            .iter()
            .position(|member| member.epoch == epoch)?;
        let member = self.unconfirmed.remove(index);
        self.unconfirmed.retain(|other| other.epoch > epoch);
        let old = self.current.replace(member);
        old.map(|old| old.epoch)
    }
}
