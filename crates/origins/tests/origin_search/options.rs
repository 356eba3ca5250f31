//! Kinds of courses, and faults that are planted into the world.

/// Fault planted into what a VM does, to show that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// An engine that restarted under its instance name counts as the same process.
    IdentityForIncarnation,
    /// Engines of unknown version count as engines of one version.
    UnknownIsEqual,
    /// The origin is recorded under the attempt that resumes the stream.
    SecondTryAsFirst,
    /// A version is forgotten as soon as its last engine leaves the list.
    VersionForgotten,
    /// A VM that has just started trusts its short history.
    YoungHistory,
    /// The organisation is no part of a stream's identity.
    OrganisationLeftOut,
    /// Of statements that exclude each other, the first one counts.
    FirstStatementWins,
}

/// What happens in a course.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    pub planted: Option<Planted>,
    /// Engines come, leave, crash and restart.
    pub has_engine_changes: bool,
    /// Entries of engines change in place.
    pub has_changes_in_place: bool,
    /// All engines of a version are replaced by those of another one within seconds.
    pub has_release: bool,
    /// Half of the VMs are cut off from the others around the release.
    pub has_cut_release: bool,
    /// Restarted and changed engines accept requests before the VMs have read their new entries.
    /// The answer does not tell the version, so that no VM can know that it is another one.
    pub has_quick_restarts: bool,
    /// Some entries have no version.
    pub has_unknown_versions: bool,
    /// Datagrams are lost, delayed and delivered twice.
    pub has_bad_network: bool,
    /// VMs are killed, restarted and paused, and leave.
    pub has_vm_troubles: bool,
    /// All VMs are killed at once.
    pub kills_all_vms: bool,
    /// Some VMs run the release before, which knows no origins and hands entries on without
    /// versions.
    pub is_mixed_release: bool,
    /// Callers name IDs that are unknown, missing, or of another organisation.
    pub has_wrong_ids: bool,
    /// An ID is used twice, by two organisations or by one.
    pub has_repeated_ids: bool,
    /// At first all engines are of one version.
    pub has_single_version: bool,
    /// Tables keep only a few streams.
    pub has_small_tables: bool,
}

impl Options {
    /// Returns whether the courses have neither VM troubles nor a bad network, so that each stream
    /// whose version is served can be resumed.
    pub fn is_calm(&self) -> bool {
        let is_troubled = self.has_bad_network
            || self.has_vm_troubles
            || self.kills_all_vms
            || self.is_mixed_release
            || self.has_small_tables;
        !is_troubled
    }
}
