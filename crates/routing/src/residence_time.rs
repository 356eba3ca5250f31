//! Mean time that a request spends at an upstream.

/// Measures the mean time from the send of a request to its end by Little's law: the mean number of
/// requests in flight over the rate at which requests end. It needs no record of single requests.
#[derive(Debug)]
pub(crate) struct ResidenceTime {
    half_life_ms: f64,
    at_ms: u64,
    in_flight: u32,
    in_flight_area_ms: f64,
    ended: f64,
}

/// Weight of the assumed time, in ended requests.
const ASSUMED_ENDED: f64 = 3.0;

impl ResidenceTime {
    /// Returns a measurement that begins with an assumed time.
    pub(crate) fn new(assumed_ms: u64, half_life_ms: u64) -> Self {
        Self {
            half_life_ms: half_life_ms.max(1) as f64,
            at_ms: 0,
            in_flight: 0,
            in_flight_area_ms: assumed_ms as f64 * ASSUMED_ENDED,
            ended: ASSUMED_ENDED,
        }
    }

    /// Records that a request was sent.
    pub(crate) fn sent(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.in_flight = self.in_flight.saturating_add(1);
    }

    /// Records that a request ended.
    pub(crate) fn ended(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.ended += 1.0;
    }

    /// Returns the mean time, which is at least one millisecond.
    pub(crate) fn mean_ms(&self) -> f64 {
        (self.in_flight_area_ms / self.ended.max(f64::EPSILON)).max(1.0)
    }

    fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = self.at_ms.max(now_ms);
        let factor = 0.5_f64.powf(elapsed_ms / self.half_life_ms);
        // While no request is in flight, nothing is measured and nothing decays.
        if self.in_flight == 0 {
            return;
        }
        self.in_flight_area_ms =
            self.in_flight_area_ms * factor + f64::from(self.in_flight) * elapsed_ms;
        self.ended *= factor;
    }
}
