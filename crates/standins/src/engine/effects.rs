//! What took effect on the engine.

use std::collections::BTreeMap;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::RequestId;
use apricotdale_core::numbers::BootId;
use serde::Serialize;

/// `RequestState` is how far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RequestState {
    /// It waits for a slot or generates.
    Running,
    /// Its whole answer was sent.
    Whole,
    /// It was cancelled, or its caller went away.
    Cancelled,
    /// A fault broke its answer off.
    Cut,
}

/// `RequestEffect` is what became of the requests with one identity.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RequestEffect {
    model: ModelName,
    state: RequestState,
    runs: u64,
}

/// `Effects` count what took effect, over all runs of the engine process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Effects {
    /// Load orders received.
    pub(crate) load_orders: u64,
    /// Unload orders received.
    pub(crate) unload_orders: u64,
    /// Orders refused, those to raise the fencing number included.
    pub(crate) refused_orders: u64,
    loads: BTreeMap<ModelName, u64>,
    requests: BTreeMap<RequestId, RequestEffect>,
    last_request: Option<RequestId>,
}

/// `EffectsReport` is the answer to `GET /standin/effects`.
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
    /// Counts a load that is done.
    pub(crate) fn loaded(&mut self, model: &ModelName) {
        *self.loads.entry(model.clone()).or_default() += 1;
    }

    /// Notes a request that was accepted.
    pub(crate) fn accepted(&mut self, id: &RequestId, model: &ModelName) {
        let effect = self.requests.entry(id.clone()).or_insert(RequestEffect {
            model: model.clone(),
            state: RequestState::Running,
            runs: 0,
        });
        effect.state = RequestState::Running;
        effect.runs += 1;
        self.last_request = Some(id.clone());
    }

    /// Notes how a request ended. The end that is noted first counts.
    pub(crate) fn ended(&mut self, id: &RequestId, state: RequestState) {
        let effect = self.requests.get_mut(id);
        let effect = effect.filter(|effect| effect.state == RequestState::Running);
        if let Some(effect) = effect {
            effect.state = state;
        }
    }

    /// Returns the identity of another request than the given one: the last one accepted, or an
    /// invented one.
    pub(crate) fn other_request(&self, id: &RequestId) -> RequestId {
        let others = self.last_request.iter().chain(self.requests.keys());
        let other = others.into_iter().find(|other| *other != id);
        other
            .cloned()
            .unwrap_or_else(|| RequestId::new(format!("not-{id}")))
    }

    /// Returns the loads that are done, by model.
    pub(crate) fn loads(&self) -> &BTreeMap<ModelName, u64> {
        &self.loads
    }

    /// Returns what became of each request.
    pub(crate) fn requests(&self) -> &BTreeMap<RequestId, RequestEffect> {
        &self.requests
    }
}
