//! Responses that list or describe models, and responses to health probes.

use apricotdale_core::config::ModelSpec;
use apricotdale_http::Response;
use serde::Serialize;

const OWNER: &str = "apricotdale";

#[derive(Serialize)]
struct ModelObject<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    parent: Option<&'a str>,
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelObject<'a>>,
}

impl<'a> From<&'a ModelSpec> for ModelObject<'a> {
    fn from(spec: &'a ModelSpec) -> Self {
        Self {
            id: spec.model.as_str(),
            object: "model",
            created: 0,
            owned_by: OWNER,
            parent: spec.base.as_ref().map(|base| base.as_str()),
        }
    }
}

/// Returns the response that lists models.
pub(crate) fn models(specs: &[ModelSpec]) -> Response {
    json(&ModelList {
        object: "list",
        data: specs.iter().map(ModelObject::from).collect(),
    })
}

/// Returns the response that describes one model.
pub(crate) fn model(spec: &ModelSpec) -> Response {
    json(&ModelObject::from(spec))
}

/// Returns the response to a health probe. `not_ready` is the reason for a 503, if any.
pub(crate) fn health(not_ready: Option<&str>) -> Response {
    let (status, body) = match not_ready {
        None => (200, serde_json::json!({"ready": true})),
        Some(reason) => (503, serde_json::json!({"ready": false, "reason": reason})),
    };
    Response::new(status)
        .header("Content-Type", "application/json")
        .header("Cache-Control", "no-store")
        .body(body.to_string())
}

fn json(value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("listings hold only strings and numbers");
    Response::new(200)
        .header("Content-Type", "application/json")
        .body(body)
}
