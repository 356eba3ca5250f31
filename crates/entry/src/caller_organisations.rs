//! Organisations of callers, by their keys and by what is known of the configuration.

use std::sync::Arc;

use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_fleet::Route;
use apricotdale_organisations::Organisation;
use apricotdale_organisations::PresentedKey;

use crate::daemon::Daemon;
use crate::request_dispatch::RETRY_AFTER_MS;

/// Time since this VM last knew its configuration to be the newest, above which it refuses nothing for
/// good as of an unknown path. Changes have to be in force after as long.
const MAX_CONFIRMED_AGE_MS: u64 = 2_000;

impl Daemon {
    /// Returns the organisation that holds the key of a request; none if the route needs no key.
    pub(crate) fn organisation_of(
        &self,
        key: &PresentedKey,
        route: &Route,
    ) -> Result<Option<Arc<Organisation>>, Refusal> {
        let Some(organisations) = &self.directory.configuration().organisations else {
            return Ok(None);
        };
        let detail = match key {
            PresentedKey::Given(key) => match organisations.holder(key) {
                Some(_) if !self.can_rely_on_keys() => {
                    let detail = "it is not known whether the key is still good";
                    let refusal = Refusal::not_run(RefusalReason::NotReady, detail);
                    return Err(refusal.retry_after(RETRY_AFTER_MS));
                }
                Some(organisation) => return Ok(Some(organisation.clone())),
                None => "no organisation holds the key",
            },
            PresentedKey::Missing => "the request has no key",
            PresentedKey::Faulty(fault) => fault.as_str(),
        };
        match route.public {
            true => Ok(None),
            false => Err(self.refusal_by_configuration(RefusalReason::UnknownKey, detail)),
        }
    }

    /// Returns the refusal of a request that the configuration in force does not allow. If a newer one
    /// is in force at other VMs, or may be as far as this VM knows, that one may allow the request, and
    /// the caller can retry there. A key that nobody holds is refused all the same.
    pub(crate) fn refusal_by_configuration(&self, reason: RefusalReason, detail: &str) -> Refusal {
        let confirmed_age_ms = self.store_pollers.confirmed_age_ms(self.now_ms);
        let is_unconfirmed = confirmed_age_ms.is_none_or(|age_ms| age_ms > MAX_CONFIRMED_AGE_MS);
        let doubt = match self.store_pollers.outdated_for_ms(self.now_ms) {
            Some(_) => "a newer configuration is in force elsewhere",
            None if is_unconfirmed && reason != RefusalReason::UnknownKey => {
                "a newer configuration may be in force"
            }
            None => return Refusal::not_run(reason, detail),
        };
        let detail = format!("{detail}, but {doubt}");
        Refusal::not_run(RefusalReason::NotReady, detail).retry_after(RETRY_AFTER_MS)
    }

    /// Returns whether keys can be relied on. They always can unless the operators configured that
    /// keys are refused when, for longer than `revoke_ms`, this VM has not confirmed that its
    /// configuration is the newest. A newer configuration announced by other VMs also counts
    /// against it, regardless of messages of other VMs and of what the store contains.
    pub(crate) fn can_rely_on_keys(&self) -> bool {
        let is_good = |age_ms| age_ms <= self.settings.revoke_ms;
        // What is read after a rollback confirms nothing that was too old before it.
        let was_outdated = !self.configuration_evidence.is_known(self.now_ms)
            && !self
                .configuration_evidence
                .age_at_rollback_ms()
                .is_some_and(is_good);
        match self.store_pollers.outdated_for_ms(self.now_ms) {
            _ if !self.settings.fail_closed => true,
            Some(for_ms) => is_good(for_ms),
            None if was_outdated => false,
            None if self.sharing.is_following(self.now_ms) => true,
            None => self
                .store_pollers
                .confirmed_age_ms(self.now_ms)
                .is_some_and(is_good),
        }
    }
}
