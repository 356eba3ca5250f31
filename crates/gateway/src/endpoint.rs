//! Paths that the gateway serves.

use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use percent_encoding::percent_decode_str;

const READ_METHODS: &str = "GET, HEAD";
const CALL_METHODS: &str = "POST";

/// What a request's path addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// List of all models.
    Models,
    /// Description of one model.
    Model(ModelName),
    /// Call to a model, with the path at the engine.
    ModelCall(&'static str),
    /// Call to a plain service.
    Service {
        /// Name of the service.
        service: GroupName,
        /// Path below the service, percent-encoded and without the query.
        path: String,
    },
    /// Liveness probe: whether the process runs.
    Live,
    /// Readiness probe: whether the VM accepts requests.
    Ready,
}

impl Endpoint {
    /// Parses the path and checks that it allows the method.
    ///
    /// # Errors
    ///
    /// A `MethodNotAllowed` or `UnknownPath` refusal.
    pub(crate) fn parse(method: &str, path: &str) -> Result<Self, Refusal> {
        let endpoint = Self::parse_path(path)?;
        match endpoint.methods() {
            Some(methods) if !methods.split(", ").any(|known| known == method) => {
                let detail = format!("{path} is served by {methods} only");
                Err(Refusal::not_run(RefusalReason::MethodNotAllowed, detail))
            }
            _ => Ok(endpoint),
        }
    }

    /// Returns the value of the `Allow` header for a path, or none if the path is unknown or allows
    /// all methods.
    pub(crate) fn allowed(path: &str) -> Option<&'static str> {
        Self::parse_path(path).ok()?.methods()
    }

    fn parse_path(path: &str) -> Result<Self, Refusal> {
        match path {
            "/v1/models" => Ok(Self::Models),
            "/v1/completions" => Ok(Self::ModelCall("/v1/completions")),
            "/v1/chat/completions" => Ok(Self::ModelCall("/v1/chat/completions")),
            "/health/live" => Ok(Self::Live),
            "/health/ready" => Ok(Self::Ready),
            _ => Self::parse_named(path),
        }
    }

    fn methods(&self) -> Option<&'static str> {
        match self {
            Self::Models | Self::Model(_) | Self::Live | Self::Ready => Some(READ_METHODS),
            Self::ModelCall(_) => Some(CALL_METHODS),
            Self::Service { .. } => None,
        }
    }

    fn parse_named(path: &str) -> Result<Self, Refusal> {
        let model = path.strip_prefix("/v1/models/").and_then(decode);
        let service = path
            .strip_prefix("/services/")
            .map(|rest| rest.split_once('/').unwrap_or((rest, "")));
        match (model, service) {
            (Some(model), _) => Ok(Self::Model(ModelName::from(model))),
            (_, Some((service, rest))) if !service.is_empty() => Ok(Self::Service {
                service: GroupName::new(service),
                path: format!("/{rest}"),
            }),
            _ => {
                let detail = format!("{path} is not served");
                Err(Refusal::not_run(RefusalReason::UnknownPath, detail))
            }
        }
    }
}

fn decode(text: &str) -> Option<String> {
    let decoded = percent_decode_str(text).decode_utf8().ok()?;
    (!decoded.is_empty()).then(|| decoded.into_owned())
}
