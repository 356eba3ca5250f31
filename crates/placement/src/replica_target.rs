//! Number of replicas that a model should have, by its load and by how late its answers begin.

/// Share of late answers above which a model gets more replicas.
const MAX_LATE_SHARE: f64 = 0.05;

/// Share of late answers below which a model may have fewer replicas again.
const LOW_LATE_SHARE: f64 = 0.02;

/// Time with few late answers before the number of replicas falls.
const CALM_MS: u64 = 5_000;

/// Time between two changes of the factor. A new replica shows in the answers only after its load.
const STEP_INTERVAL_MS: u64 = 1_000;

/// Change of the factor in one step, and its upper limit.
const STEP: f64 = 1.25;
const MAX_FACTOR: f64 = 3.0;

/// Requests in progress for each replica, as a share of an engine's slots, from which more replicas
/// help. With fewer, answers are late for another reason, such as a load.
const BUSY_SHARE: f64 = 0.2;

/// Load of one model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelLoad {
    /// Requests in progress, and those that wait for a slot.
    pub active_requests: u32,
    /// Number of replicas that exist or are planned.
    pub replicas: u32,
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Share of the recent answers that began after their target.
    pub late_share: f64,
}

/// Factor on the number of replicas of one model, which follows the lateness of its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaFactor {
    factor: f64,
    changed_ms: u64,
    /// Since when few answers are late.
    calm_since_ms: Option<u64>,
}

impl Default for ReplicaFactor {
    fn default() -> Self {
        Self {
            factor: 1.0,
            changed_ms: 0,
            calm_since_ms: None,
        }
    }
}

impl ReplicaFactor {
    /// Returns the factor, at least 1.
    pub fn get(&self) -> f64 {
        self.factor
    }

    /// Adjusts the factor to the model's load.
    pub fn update(&mut self, now_ms: u64, load: &ModelLoad) {
        let busy_requests = f64::from(load.slots * load.replicas.max(1)) * BUSY_SHARE;
        let is_busy = f64::from(load.active_requests) >= busy_requests;
        let may_step = now_ms >= self.changed_ms + STEP_INTERVAL_MS;
        if load.late_share > LOW_LATE_SHARE {
            self.calm_since_ms = None;
        }
        match load.late_share {
            late if late > MAX_LATE_SHARE && is_busy && may_step => {
                self.factor = (self.factor * STEP).min(MAX_FACTOR);
                self.changed_ms = now_ms;
            }
            late if late <= LOW_LATE_SHARE => {
                let calm_since_ms = *self.calm_since_ms.get_or_insert(now_ms);
                if now_ms >= calm_since_ms + CALM_MS && may_step {
                    self.factor = (self.factor / STEP).max(1.0);
                    self.changed_ms = now_ms;
                }
            }
            _ => {}
        }
    }
}
