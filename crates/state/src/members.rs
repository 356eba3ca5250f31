//! The daemon processes that have joined.

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

/// The most processes of one VM that have joined and not yet appended a record.
const MAX_UNCONFIRMED: usize = 8;

/// How much older than the time of a listing something must be for the listing to speak of it, in
/// milliseconds. It covers the difference between the clocks of the platform's services.
pub const LIST_MARGIN_MS: u64 = 5_000;

/// `Member` is one daemon process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The offset of its join.
    pub epoch: Epoch,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its random identity.
    pub process_id: u64,
    /// When the log took its join, in milliseconds of Unix time.
    pub joined_ms: u64,
    /// The sequence of its last record, or none before the first.
    pub last_sequence: Option<u64>,
}

/// `VmMembers` are the processes of one VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct VmMembers {
    current: Option<Member>,
    unconfirmed: Vec<Member>,
}

/// `Authenticated` is what a proposer's record says of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Authenticated {
    /// The record is of the VM's current process.
    Current,
    /// The record is the first of a process that has taken another's place.
    Supersedes(Epoch),
    /// The record repeats an older one.
    Repeated,
}

/// `Members` are the daemon processes that have joined.
///
/// A join alone does not end the VM's earlier process: an append whose answer was lost can reach
/// the stream long after its process has died, and would then end a later process that is alive and
/// may still send an order. One would notice by two orders in the memory of one. So a joined
/// process takes the earlier one's place only with its first record, which carries its epoch, and
/// which it can write only after it has read its own join from the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    vms: BTreeMap<VmName, VmMembers>,
}

impl Members {
    /// Returns each VM with its newest process.
    pub fn newest(&self) -> impl Iterator<Item = (&VmName, &Member)> {
        self.vms
            .iter()
            .filter_map(|(vm, members)| Some((vm, members.newest()?)))
    }

    /// Returns the epoch of a process, or none if it has not joined or is over.
    pub fn epoch_of(&self, vm: &VmName, process_id: u64) -> Option<Epoch> {
        let members = self.vms.get(vm)?;
        let member = members
            .all()
            .find(|member| member.process_id == process_id)?;
        Some(member.epoch)
    }

    /// Returns whether a process's records are accepted.
    pub fn is_current(&self, epoch: Epoch) -> bool {
        let mut current = self
            .vms
            .values()
            .filter_map(|members| members.current.as_ref());
        current.any(|member| member.epoch == epoch)
    }

    /// Returns the processes of a VM that the platform's list, speaking of the time `as_of_ms`,
    /// shows as gone, as far as the list can mean them. Only these may be said to have departed.
    ///
    /// The list lags, and a VM that was replaced under its old name may still be shown as gone
    /// while its new process runs. To end that process would free the memory of orders that it may
    /// still send. The list's time and the log's time are both the platform's; a join later than
    /// [`LIST_MARGIN_MS`] before the list's time is not held against the process.
    pub fn departable_epochs(&self, vm: &VmName, as_of_ms: u64) -> Vec<Epoch> {
        let joined_before_ms = as_of_ms.saturating_sub(LIST_MARGIN_MS);
        let members = self.vms.get(vm).into_iter().flat_map(VmMembers::all);
        let departable = members.filter(|member| member.joined_ms < joined_before_ms);
        departable.map(|member| member.epoch).collect()
    }

    /// Returns whether a process has joined and is not over.
    pub fn has_process(&self, process_id: u64) -> bool {
        let mut all = self.vms.values().flat_map(VmMembers::all);
        all.any(|member| member.process_id == process_id)
    }

    /// Takes in a join.
    pub(crate) fn join(
        &mut self,
        join: &Join,
        epoch: Epoch,
        joined_ms: u64,
    ) -> Result<(), IgnoreReason> {
        let members = self.vms.entry(join.vm.clone()).or_default();
        // A join that was appended twice must not give its process a second epoch: the orders of
        // the first epoch would count as those of a process that is over, while it still sends.
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

    /// Takes in the proposer of a record.
    pub(crate) fn authenticate(
        &mut self,
        proposer: &Proposer,
    ) -> Result<Authenticated, RejectReason> {
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
            return Ok(Authenticated::Repeated);
        }
        current.last_sequence = Some(proposer.sequence);
        Ok(superseded.map_or(Authenticated::Current, Authenticated::Supersedes))
    }

    /// Takes in that a process can act no more.
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
        if self.unconfirmed.len() == MAX_UNCONFIRMED {
            self.unconfirmed.remove(0);
        }
        self.unconfirmed.push(member);
    }

    /// Makes an unconfirmed process the current one and returns the epoch whose place it takes.
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
