//! Record of what took effect on the engine.

use std::collections::BTreeMap;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::RequestId;
use apricotdale_core::numbers::BootId;
use serde::Serialize;

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RequestState {
    /// The request waits for a slot or generates.
    Running,
    /// The complete answer was sent.
    Whole,
    /// The request was cancelled, or its caller disconnected.
    Cancelled,
    /// A fault cut the answer.
    Cut,
}

/// Outcome of the requests with one identity.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RequestEffect {
    model: ModelName,
    state: RequestState,
    runs: u64,
}

/// Counts of what took effect, over all incarnations of the engine process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Effects {
    /// Number of load orders received.
    pub(crate) load_orders: u64,
    /// Number of unload orders received.
    pub(crate) unload_orders: u64,
    /// Number of refused orders, including those that raise the fencing token.
    pub(crate) refused_orders: u64,
    loads: BTreeMap<ModelName, u64>,
    requests: BTreeMap<RequestId, RequestEffect>,
    last_request: Option<RequestId>,
}

/// Body of the answer to `GET /standin/effects`.
#[derive(Serialize)]
pub(crate) struct EffectsReport<'a> {
    pub(crate) boot: BootId,
    pub(crate) load_orders: u64,
    pub(crate) unload_orders: u64,
    pub(crate) refused_orders: u64,
    pub(crate) most_bytes_held: u64,
    pub(crate) overcommitted: u64,
    pub(crate) loads: &'a BTreeMap<ModelName, u64>,
    pub(crate) requests: &'a BTreeMap<RequestId, RequestEffect>,
}

impl Effects {
    /// Counts a load that succeeded.
    pub(crate) fn count_load(&mut self, model: &ModelName) {
        *self.loads.entry(model.clone()).or_default() += 1;
    }

    /// Records a request that was accepted.
    pub(crate) fn record_accepted(&mut self, id: &RequestId, model: &ModelName) {
        let effect = self.requests.entry(id.clone()).or_insert(RequestEffect {
            model: model.clone(),
            state: RequestState::Running,
            runs: 0,
        });
        effect.state = RequestState::Running;
        effect.runs += 1;
        self.last_request = Some(id.clone());
    }

    /// Records how a request ended. Only the first end counts.
    pub(crate) fn record_end(&mut self, id: &RequestId, state: RequestState) {
        let effect = self.requests.get_mut(id);
        let effect = effect.filter(|effect| effect.state == RequestState::Running);
        if let Some(effect) = effect {
            effect.state = state;
        }
    }

    /// Returns the identity of a request other than the given one: preferably the last one
    /// accepted, and an invented one if there is no other.
    pub(crate) fn other_request(&self, id: &RequestId) -> RequestId {
        let others = self.last_request.iter().chain(self.requests.keys());
        let other = others.into_iter().find(|other| *other != id);
        other
            .cloned()
            .unwrap_or_else(|| RequestId::new(format!("not-{id}")))
    }

    /// Returns the number of loads that succeeded, by model.
    pub(crate) fn loads(&self) -> &BTreeMap<ModelName, u64> {
        &self.loads
    }

    /// Returns the outcome of each request.
    pub(crate) fn requests(&self) -> &BTreeMap<RequestId, RequestEffect> {
        &self.requests
    }
}
