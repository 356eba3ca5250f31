//! Choice of the policies of a run.

use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::PlacementPolicy;
use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_routing::RetryOptions;

use crate::errors::Error;
use crate::errors::Result;

/// Names and options of the policies of a run.
#[derive(Clone, Debug)]
pub struct PolicySet {
    /// Registered name of the placement policy.
    pub placement: &'static str,
    /// Idle timeout of the placement policy, for one that has it.
    pub idle_timeout_ms: u64,
    /// Registered name of the routing policy.
    pub routing: &'static str,
    /// Registered name of the retry policy.
    pub retry: &'static str,
    /// Registered name of the admission policy.
    pub admission: &'static str,
    /// Whether routing ignores signs of a slow engine that can have other causes here: first
    /// tokens that arrive later than those of other engines, which run other models, and requests
    /// that time out in the engine's queue.
    pub mild_routing: bool,
    /// Seed of the randomized policies.
    pub seed: u64,
}

/// Policy instances of the simulated VM.
pub struct Policies {
    /// Placement of models on engines.
    pub placement: Box<dyn PlacementPolicy>,
    /// Routing among the engines.
    pub engines: Box<dyn RoutingPolicy>,
    /// Routing among the instances of the plain service.
    pub instances: Box<dyn RoutingPolicy>,
    /// Retries of failed attempts.
    pub retry: Box<dyn RetryPolicy>,
    /// Admission of requests.
    pub admission: Box<dyn AdmissionPolicy>,
}

impl PolicySet {
    /// Returns the baseline policies, with the given idle timeout.
    pub fn baseline(idle_timeout_ms: u64, seed: u64) -> Self {
        Self {
            placement: "fixed_timeout",
            idle_timeout_ms,
            routing: "least_reported",
            retry: "fixed",
            admission: "first_come",
            mild_routing: false,
            seed,
        }
    }

    /// Returns the default policies.
    pub fn chosen(seed: u64, mild_routing: bool) -> Self {
        Self {
            placement: "learned",
            idle_timeout_ms: 0,
            routing: "corrected_load",
            retry: "budgeted",
            admission: "earliest_deadline",
            mild_routing,
            seed,
        }
    }

    /// Creates the policies, which have learned nothing yet.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownPolicy`] if no policy is registered under one of the names.
    pub fn build(&self) -> Result<Policies> {
        let placement_options = apricotdale_placement::Options {
            idle_timeout_ms: self.idle_timeout_ms,
            ..Default::default()
        };
        Ok(Policies {
            placement: apricotdale_placement::placement_policy(self.placement, placement_options)
                .ok_or_else(|| unknown(self.placement))?,
            engines: self.routing()?,
            instances: self.routing()?,
            retry: apricotdale_routing::retry_policy(
                self.retry,
                RetryOptions {
                    seed: self.seed,
                    ..Default::default()
                },
            )
            .map_err(|_| unknown(self.retry))?,
            admission: apricotdale_admission::admission_policy(self.admission, Default::default())
                .map_err(|_| unknown(self.admission))?,
        })
    }

    fn routing(&self) -> Result<Box<dyn RoutingPolicy>> {
        let mut options = apricotdale_routing::Options {
            seed: self.seed,
            ..Default::default()
        };
        if self.mild_routing {
            options.outliers.eject_slowness = f64::INFINITY;
            options.outliers.max_slowness = 1.0;
        }
        apricotdale_routing::routing_policy(self.routing, options)
            .map_err(|_| unknown(self.routing))
    }
}

fn unknown(name: &str) -> Error {
    Error::UnknownPolicy(name.to_owned())
}
