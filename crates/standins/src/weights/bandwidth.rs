//! Bandwidth of the weight store, shared by the loads in progress.

use std::collections::BTreeMap;

const MS_PER_S: f64 = 1_000.0;

/// Number of bytes that rounding may leave of a complete load.
const ROUNDING_BYTES: f64 = 0.5;

/// Identity of one load in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadId(u64);

/// Progress of the loads. Up to a number of loads, each runs at full speed; more of them share the
/// bandwidth of that number in equal parts.
#[derive(Clone, Debug)]
pub struct Bandwidth {
    full_speed_loads: u32,
    bytes_per_s: u64,
    factor: f64,
    next_id: u64,
    as_of_ms: f64,
    left_bytes: BTreeMap<LoadId, f64>,
}

impl Bandwidth {
    /// Returns the bandwidth of a store without loads in progress.
    pub fn new(full_speed_loads: u32, bytes_per_s: u64) -> Self {
        Self {
            full_speed_loads: full_speed_loads.max(1),
            bytes_per_s: bytes_per_s.max(1),
            factor: 1.0,
            next_id: 0,
            as_of_ms: 0.0,
            left_bytes: BTreeMap::new(),
        }
    }

    /// Starts a load.
    pub fn start(&mut self, now_ms: f64, bytes: u64) -> LoadId {
        self.advance(now_ms);
        let id = LoadId(self.next_id);
        self.next_id += 1;
        self.left_bytes.insert(id, bytes as f64);
        id
    }

    /// Ends a load, whether it is complete or not.
    pub fn end(&mut self, now_ms: f64, id: LoadId) {
        self.advance(now_ms);
        self.left_bytes.remove(&id);
    }

    /// Slows every load by a factor; one is normal speed, as is any factor that is not positive.
    pub fn slow_by(&mut self, now_ms: f64, factor: f64) {
        self.advance(now_ms);
        self.factor = if factor > 0.0 { factor } else { 1.0 };
    }

    /// Returns the number of loads in progress.
    pub fn active(&self) -> u32 {
        u32::try_from(self.left_bytes.len()).unwrap_or(u32::MAX)
    }

    /// Returns the time in milliseconds until a load is complete if no other begins or ends before
    /// that, or none if it is complete or has ended.
    pub fn left_ms(&mut self, now_ms: f64, id: LoadId) -> Option<f64> {
        self.advance(now_ms);
        let left_bytes = self.left_bytes.get(&id).copied()?;
        (left_bytes > ROUNDING_BYTES).then(|| left_bytes / self.bytes_per_ms())
    }

    /// Returns the present speed of each load.
    fn bytes_per_ms(&self) -> f64 {
        let full_speed = self.bytes_per_s as f64 / MS_PER_S / self.factor;
        let sharing = self.active().max(self.full_speed_loads);
        full_speed * f64::from(self.full_speed_loads) / f64::from(sharing)
    }

    /// Subtracts what each load has fetched since the last call. The speed is constant between two
    /// calls that change it, except that a complete load keeps its share until it is ended.
    fn advance(&mut self, now_ms: f64) {
        let fetched = (now_ms - self.as_of_ms).max(0.0) * self.bytes_per_ms();
        self.as_of_ms = self.as_of_ms.max(now_ms);
        for left_bytes in self.left_bytes.values_mut() {
            *left_bytes = (*left_bytes - fetched).max(0.0);
        }
    }
}
