//! Evidence of which configuration is in force, by which a VM that starts decides whether it serves.
//!
//! A store that was rolled back contains an older configuration, and its entries of VMs may lack
//! those with the newer one in force. What a VM reads there then proves nothing. Neither does it
//! prove anything that no other VM is known, or that others are: they may have just started too.
//!
//! Three things are evidence: a read while the store has never been rolled back, a configuration
//! that the operators have written since the rollback, and the statement of a VM that has evidence
//! itself. If there is none for [`EvidenceOptions::max_wait_ms`], the configuration in the store is
//! taken to be in force, so that a fleet of which every VM has lost its state comes up.

/// Options of [`ConfigurationEvidence`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvidenceOptions {
    /// How long a VM that starts waits for the other VMs' entries, in milliseconds. Without them it
    /// announces itself to no other VM, and if the store becomes unreachable then, it learns
    /// nothing from other VMs either.
    pub other_vms_wait_ms: u64,
    /// How long evidence, or a newer configuration that other VMs have in force, is awaited, in
    /// milliseconds. Operators publish their configuration again after a rollback.
    pub max_wait_ms: u64,
    /// Maximum age, in milliseconds, that evidence may have when a rollback becomes known. A VM
    /// that was cut off for longer may have missed a change that the rollback has undone.
    pub max_age_ms: u64,
}

impl Default for EvidenceOptions {
    fn default() -> Self {
        Self {
            other_vms_wait_ms: 1_000,
            max_wait_ms: 10_000,
            max_age_ms: 2_200,
        }
    }
}

/// A read of the configuration from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadVersion {
    /// Era of the store in which the configuration was read.
    pub era: u64,
    /// Version that was read; 0 if there was none.
    pub version: u64,
    /// Whether the record was written after an earlier read of this VM in the same era.
    pub is_change: bool,
}

/// Whether a VM serves requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The VM refuses requests for now.
    Waiting(AwaitedEvidence),
    /// The configuration is known to be in force.
    Ready,
    /// The VM serves because it has waited long enough, and a newer configuration may be in force
    /// elsewhere.
    ReadyUnconfirmed,
}

/// What a VM that starts is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwaitedEvidence {
    /// A configuration and an upstream list.
    State,
    /// Any evidence of which configuration is in force.
    Confirmation,
    /// A newer configuration that other VMs have in force.
    NewerVersion,
    /// The entries of the other VMs.
    OtherVms,
}

/// What one VM knows about which configuration is in force.
///
/// Callers pass the current time to each call.
#[derive(Debug, Default)]
pub struct ConfigurationEvidence {
    options: EvidenceOptions,
    has_evidence: bool,
    /// Time up to which the evidence holds; `None` before the first.
    evidence_ms: Option<u64>,
    /// Age of the evidence when the last rollback became known.
    age_at_rollback_ms: Option<u64>,
    /// Era and version of the first read in that era.
    first_read: Option<(u64, u64)>,
    /// Whether the other VMs' entries have been read.
    other_vms_read: bool,
    /// When the VM had a configuration and an upstream list, or learned of the last rollback since;
    /// `None` before that.
    waiting_since_ms: Option<u64>,
    ready: Option<Readiness>,
}

impl ConfigurationEvidence {
    /// Returns the state of a VM that has just started.
    pub fn new(options: EvidenceOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Records a read of the configuration.
    pub fn record_read(&mut self, now_ms: u64, read: ReadVersion) {
        let first_read = self
            .first_read
            .filter(|(era, _)| *era == read.era)
            .unwrap_or((read.era, read.version));
        self.first_read = Some(first_read);
        let is_written_in_era = read.is_change || read.version > first_read.1;
        self.has_evidence |= read.era == 0 || is_written_in_era;
        if self.is_known(now_ms) {
            self.evidence_ms = Some(now_ms);
        }
    }

    /// Records that a VM with evidence has stated the version in force. `age_ms` is the age of its
    /// evidence. A version of 0 states nothing.
    pub fn record_statement(&mut self, now_ms: u64, version: u64, age_ms: u64) {
        if version > 0 {
            self.has_evidence = true;
            let at_ms = now_ms.saturating_sub(age_ms);
            self.evidence_ms = self.evidence_ms.max(Some(at_ms));
        }
    }

    /// Records that the other VMs' entries have been read.
    pub fn record_other_vms(&mut self) {
        self.other_vms_read = true;
    }

    /// Records that the store was rolled back.
    pub fn record_rollback(&mut self, now_ms: u64) {
        self.age_at_rollback_ms = self.age_ms(now_ms);
        let is_recent = self
            .age_at_rollback_ms
            .is_some_and(|age_ms| age_ms <= self.options.max_age_ms);
        self.has_evidence = self.is_known(now_ms) && is_recent;
        self.waiting_since_ms = self.waiting_since_ms.map(|_| now_ms);
    }

    /// Returns whether this VM may state to others which version is in force.
    pub fn is_known(&self, now_ms: u64) -> bool {
        self.has_evidence || self.has_waited(now_ms, self.options.max_wait_ms)
    }

    /// Returns whether the VM has begun to serve.
    pub fn is_ready(&self) -> bool {
        self.ready.is_some()
    }

    /// Returns the age of the evidence in milliseconds; `None` before the first.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.evidence_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Returns the age, in milliseconds, that the evidence had when the last rollback became known;
    /// `None` without a rollback, or without evidence before it.
    pub fn age_at_rollback_ms(&self) -> Option<u64> {
        self.age_at_rollback_ms
    }

    /// Returns whether the VM serves requests. `version` is that of its configuration, and
    /// `announced_version` the newest that any VM has stated. A VM that has served goes on.
    pub fn readiness(
        &mut self,
        now_ms: u64,
        is_complete: bool,
        version: u64,
        announced_version: u64,
    ) -> Readiness {
        if let Some(ready) = self.ready {
            return ready;
        }
        if !is_complete {
            return Readiness::Waiting(AwaitedEvidence::State);
        }
        self.waiting_since_ms.get_or_insert(now_ms);
        let is_outdated = version < announced_version;
        let is_over = self.has_waited(now_ms, self.options.max_wait_ms);
        let lacks_other_vms =
            !self.other_vms_read && !self.has_waited(now_ms, self.options.other_vms_wait_ms);
        let readiness = match () {
            _ if is_over && (is_outdated || !self.has_evidence) => Readiness::ReadyUnconfirmed,
            _ if !self.has_evidence => Readiness::Waiting(AwaitedEvidence::Confirmation),
            _ if is_outdated => Readiness::Waiting(AwaitedEvidence::NewerVersion),
            _ if lacks_other_vms => Readiness::Waiting(AwaitedEvidence::OtherVms),
            _ => Readiness::Ready,
        };
        if !matches!(readiness, Readiness::Waiting(_)) {
            self.ready = Some(readiness);
        }
        readiness
    }

    fn has_waited(&self, now_ms: u64, for_ms: u64) -> bool {
        self.waiting_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= for_ms)
    }
}
