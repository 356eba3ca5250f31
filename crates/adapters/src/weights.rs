//! Client of the weight store over HTTP.

use serde::Deserialize;

use crate::options::HttpOptions;
use crate::options::WeightsOptions;
use crate::paths::segment;
use crate::reader::Reader;
use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;
use apricotdale_core::names::ModelName;
use apricotdale_core::weights::WeightStore;
use apricotdale_core::weights::WeightsStatus;

const NOT_FOUND: u16 = 404;

/// Client of the weight store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpWeights {
    options: WeightsOptions,
    reader: Reader,
}

#[derive(Deserialize)]
struct SizeAnswer {
    bytes: u64,
}

impl HttpWeights {
    /// Returns a client of the store at the address in the options.
    pub fn new(http: &HttpOptions, options: &WeightsOptions) -> Self {
        Self {
            options: options.clone(),
            reader: Reader::new(http, options.answer_limit_bytes),
        }
    }
}

impl WeightStore for HttpWeights {
    fn status(&self) -> Result<WeightsStatus> {
        let options = &self.options;
        self.reader
            .get(options.address, "/status", options.timeout_ms)?
            .json()
    }

    fn size_bytes(&self, model: &ModelName) -> Result<u64> {
        let path = format!("/models/{}", segment(model.as_str()));
        let options = &self.options;
        let fetched = self
            .reader
            .get(options.address, &path, options.timeout_ms)?;
        match fetched.status {
            NOT_FOUND => Err(Error::rejected(format!("no weights of {model}"))),
            _ => fetched.json::<SizeAnswer>().map(|size| size.bytes),
        }
    }
}
