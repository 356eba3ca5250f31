//! Latency that a VM adds to a request and to a streamed event, compared with direct requests to
//! the same engine.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use ureq::Agent;

use crate::errors::Error;
use crate::errors::Result;

/// Upper bound of the histograms; longer times are recorded as this one.
const MAX_RECORDED_US: u64 = 60_000_000;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Latencies of the requests sent over one route, in microseconds.
pub struct Timings {
    /// From sending an unstreamed request to the end of its answer.
    pub complete_us: Histogram<u64>,
    /// From sending a streamed request to the first event of its answer.
    pub first_event_us: Histogram<u64>,
    /// Between two consecutive events of a stream.
    pub gap_us: Histogram<u64>,
}

/// Route to the engine, either direct or through a VM.
pub struct Route {
    agent: Agent,
    url: String,
    model: String,
    /// Latencies recorded so far.
    pub timings: Timings,
}

impl Route {
    /// Returns a route to the engine or VM at `address`, for requests to `model`.
    pub fn new(address: SocketAddr, model: &str) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .http_status_as_error(true)
            .no_delay(true)
            .build();
        let histogram =
            || Histogram::new_with_max(MAX_RECORDED_US, 3).expect("the bounds are constants");
        Self {
            agent: config.into(),
            url: format!("http://{address}/v1/completions"),
            model: model.to_owned(),
            timings: Timings {
                complete_us: histogram(),
                first_event_us: histogram(),
                gap_us: histogram(),
            },
        }
    }

    /// Sends one unstreamed and one streamed request for `tokens` tokens each and records their
    /// latencies.
    ///
    /// # Errors
    ///
    /// If one of them is refused or its answer is incomplete.
    pub fn measure(&mut self, tokens: u32) -> Result<()> {
        self.measure_complete(tokens)?;
        self.measure_stream(tokens)
    }

    fn body(&self, tokens: u32, stream: bool) -> serde_json::Value {
        serde_json::json!({
            "model": self.model, "prompt": "overhead", "max_tokens": tokens, "stream": stream,
        })
    }

    fn measure_complete(&mut self, tokens: u32) -> Result<()> {
        let began = Instant::now();
        let answer = self
            .agent
            .post(&self.url)
            .send_json(self.body(tokens, false));
        let body = answer.and_then(|mut answer| answer.body_mut().read_to_string());
        body.map_err(|error| Error::failed(format!("unstreamed request: {error}")))?;
        record_elapsed(&mut self.timings.complete_us, began);
        Ok(())
    }

    fn measure_stream(&mut self, tokens: u32) -> Result<()> {
        let mut last = Instant::now();
        let answer = self
            .agent
            .post(&self.url)
            .send_json(self.body(tokens, true));
        let answer = answer.map_err(|error| Error::failed(format!("streamed request: {error}")))?;
        let mut events = 0;
        for line in BufReader::new(answer.into_body().into_reader()).lines() {
            let line = line.map_err(|error| Error::failed(format!("streamed request: {error}")))?;
            match line.strip_prefix("data: ") {
                Some("[DONE]") => return Ok(()),
                Some(_) if events == 0 => record_elapsed(&mut self.timings.first_event_us, last),
                Some(_) => record_elapsed(&mut self.timings.gap_us, last),
                None => continue,
            }
            events += 1;
            last = Instant::now();
        }
        Err(Error::failed(format!(
            "the stream ended early, after {events} events"
        )))
    }
}

fn record_elapsed(histogram: &mut Histogram<u64>, since: Instant) {
    let us = u64::try_from(since.elapsed().as_micros()).unwrap_or(MAX_RECORDED_US);
    histogram.saturating_record(us);
}
