//! The trait that a daemon implements to answer its operators.

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

/// `AdminSource` is a daemon as its operators see it. Every method but `publish` returns at once
/// from what the VM already holds, so that a view can be had while the platform is down.
pub trait AdminSource: Send + Sync {
    /// Returns how this daemon is. It can always be told, also before the daemon is ready.
    fn status(&self) -> Status;

    /// Returns the configuration in force on this VM.
    ///
    /// # Errors
    ///
    /// `Error::NotReady` before the control stream has been replayed for the first time.
    fn config(&self) -> Result<ConfigView>;

    /// Returns every configured model with its replicas.
    ///
    /// # Errors
    ///
    /// As for `config`.
    fn models(&self) -> Result<ModelsView>;

    /// Returns every engine and every instance of a plain service that this VM knows.
    ///
    /// # Errors
    ///
    /// As for `config`.
    fn upstreams(&self) -> Result<UpstreamsView>;

    /// Returns every VM that runs a daemon, as this one sees it.
    ///
    /// # Errors
    ///
    /// As for `config`.
    fn members(&self) -> Result<MembersView>;

    /// Returns what this VM did for one request.
    ///
    /// # Errors
    ///
    /// `Error::NotFound` if this VM did not serve the request or has forgotten it.
    fn explain(&self, request: &RequestId) -> Result<Explanation>;

    /// Appends a change of the configuration to the control stream and waits, for a bounded time,
    /// until this VM has replayed it. A change whose `change_id` has been accepted before is
    /// answered with the version that it got then.
    fn publish(&self, request: &PublishRequest) -> PublishOutcome;

    /// Begins a graceful shutdown and returns at once. Repeating it changes nothing.
    fn drain(&self) -> DrainView;
}
