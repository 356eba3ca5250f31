//! Trait with which a daemon answers its operators.

use apricotdale_core::names::RequestId;

use crate::errors::Result;
use crate::publish::PublishOutcome;
use crate::publish::PublishRequest;
use crate::views::ConfigView;
use crate::views::DrainView;
use crate::views::Explanation;
use crate::views::MembersView;
use crate::views::ModelsView;
use crate::views::Status;
use crate::views::UpstreamsView;

/// State and actions that a daemon offers its operators.
///
/// Every method but `publish` returns at once from the state that the VM has in memory, so that
/// operators get answers even if the platform is down.
pub trait AdminSource: Send + Sync {
    /// Returns the daemon's status, which is available even before the daemon is ready.
    fn status(&self) -> Status;

    /// Returns the configuration in force on this VM.
    ///
    /// # Errors
    ///
    /// [`Error::NotReady`](crate::Error::NotReady) until the control stream has been replayed once.
    fn config(&self) -> Result<ConfigView>;

    /// Returns every configured model with its replicas.
    ///
    /// # Errors
    ///
    /// Same as [`config`](Self::config).
    fn models(&self) -> Result<ModelsView>;

    /// Returns the engines and the instances of plain services that this VM has read from the
    /// platform's list.
    ///
    /// # Errors
    ///
    /// Same as [`config`](Self::config).
    fn upstreams(&self) -> Result<UpstreamsView>;

    /// Returns the VMs that run a daemon, with their states as this VM observes them.
    ///
    /// # Errors
    ///
    /// Same as [`config`](Self::config).
    fn members(&self) -> Result<MembersView>;

    /// Returns the steps that this VM took for one request.
    ///
    /// # Errors
    ///
    /// [`Error::NotFound`](crate::Error::NotFound) if this VM did not serve the request, or no
    /// longer keeps its steps.
    fn explain(&self, request: &RequestId) -> Result<Explanation>;

    /// Appends a change of the configuration to the control stream and waits, for a bounded time,
    /// until this VM has replayed it.
    ///
    /// A change whose `change_id` has been accepted before is not applied again: the outcome has
    /// the version that the change got the first time.
    fn publish(&self, request: &PublishRequest) -> PublishOutcome;

    /// Starts a graceful shutdown and returns at once. A second call changes nothing.
    fn drain(&self) -> DrainView;
}
