//! Which policies a run drives.

use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::PlacementPolicy;
use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_routing::RetryOptions;

use crate::errors::Error;
use crate::errors::Result;

/// `PolicySet` names the policies of a run.
#[derive(Clone, Debug)]
pub struct PolicySet {
    /// Placement.
    pub placement: &'static str,
    /// The idle timeout, where the placement has one.
    pub idle_timeout_ms: u64,
    /// Routing.
    pub routing: &'static str,
    /// Retries.
    pub retry: &'static str,
    /// Admission.
    pub admission: &'static str,
    /// Whether routing ignores what by default it holds against an engine although it may be no
    /// fault of its own: answers that begin later than those of other engines, which here run
    /// other models, and requests that time out in its queue.
    pub mild_routing: bool,
    /// The seed of the policies that draw.
    pub seed: u64,
}

/// `Policies` are the policies of one VM.
pub struct Policies {
    /// Placement.
    pub placement: Box<dyn PlacementPolicy>,
    /// Routing among the engines.
    pub engines: Box<dyn RoutingPolicy>,
    /// Routing among the instances of the plain service.
    pub instances: Box<dyn RoutingPolicy>,
    /// Retries.
    pub retry: Box<dyn RetryPolicy>,
    /// Admission.
    pub admission: Box<dyn AdmissionPolicy>,
}

impl PolicySet {
    /// Returns the baseline with an idle timeout.
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

    /// Returns the policies in use.
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

    /// Returns new policies that have learned nothing.
    ///
    /// # Errors
    ///
    /// `Error::UnknownPolicy` for a name that no crate knows.
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
