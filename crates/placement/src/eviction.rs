//! Choice of the models that an engine evicts for a load.

/// Maximum number of models among which the choice is made. All their combinations are compared, and
/// an engine holds a handful of models.
const MAX_CANDIDATES: usize = 8;

/// Model that an engine holds, as a candidate for eviction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvictionCandidate {
    /// Value of keeping this replica, in expected requests per second that would miss it.
    pub keep_value: f64,
    /// Size of its weights in megabytes.
    pub size_mb: f64,
    /// Number of requests that run on the model at this engine. An unload waits until they have ended.
    pub running: u32,
    /// Whether the model's turn on the engine has not ended.
    pub in_turn: bool,
}

/// Weights of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvictionOptions {
    /// Cost of each evicted model, because its unload takes time.
    pub eviction_cost: f64,
    /// Cost of evicting a model on which requests run, since the engine takes no other order until
    /// they have ended.
    pub drain_cost: f64,
    /// Further cost of each of these requests.
    pub running_cost: f64,
    /// Cost of memory that stays free and is too small for any model, relative to the value of the
    /// engine's models in as much memory.
    pub stranded_share: f64,
}

impl Default for EvictionOptions {
    fn default() -> Self {
        Self {
            eviction_cost: 0.05,
            drain_cost: 1.5,
            running_cost: 0.5,
            stranded_share: 0.5,
        }
    }
}

/// Combination of models that can be evicted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Eviction {
    /// Set of the candidates, by bit.
    victims: u16,
    /// Memory that is free after the eviction, in megabytes.
    pub free_mb: f64,
    /// Sum of the values of the evicted models.
    pub value: f64,
    /// Value, and the cost of the unloads.
    pub cost: f64,
}

impl Eviction {
    /// Returns the indices of the evicted candidates.
    pub fn victims(&self) -> impl Iterator<Item = usize> {
        let victims = self.victims;
        (0..MAX_CANDIDATES).filter(move |index| victims & (1 << index) != 0)
    }

    /// Returns the number of evicted models.
    pub fn count(&self) -> u32 {
        self.victims.count_ones()
    }
}

/// All combinations of models that one engine can evict, the cheapest first.
#[derive(Clone, Debug)]
pub struct EvictionChoices {
    options: EvictionOptions,
    /// Value of the engine's models for each megabyte that they occupy.
    value_per_mb: f64,
    smallest_model_mb: f64,
    combinations: Vec<Eviction>,
}

impl EvictionChoices {
    /// Returns the combinations of these candidates on an engine with `free_mb` megabytes of free
    /// memory. `smallest_model_mb` is the size of the smallest model of the catalogue.
    pub fn new(
        candidates: &[EvictionCandidate],
        free_mb: f64,
        smallest_model_mb: f64,
        options: EvictionOptions,
    ) -> Self {
        let candidates = &candidates[..candidates.len().min(MAX_CANDIDATES)];
        let used_mb: f64 = candidates.iter().map(|it| it.size_mb).sum();
        let value: f64 = candidates.iter().map(|it| it.keep_value).sum();
        let in_turn = candidates.iter().enumerate().filter(|(_, it)| it.in_turn);
        let kept = in_turn.fold(0_u16, |kept, (index, _)| kept | 1 << index);
        let mut combinations: Vec<Eviction> = (0..1_u16 << candidates.len())
            .filter(|victims| victims & kept == 0)
            .map(|victims| {
                let none = Eviction {
                    victims,
                    free_mb,
                    value: 0.0,
                    cost: 0.0,
                };
                let chosen = candidates.iter().enumerate();
                let chosen = chosen.filter(|(index, _)| victims & (1 << index) != 0);
                chosen.fold(none, |sum, (_, it)| Eviction {
                    victims,
                    free_mb: sum.free_mb + it.size_mb,
                    value: sum.value + it.keep_value,
                    cost: sum.cost + eviction_cost(it, &options),
                })
            })
            .collect();
        combinations.sort_by(|left, right| {
            let order = left.cost.total_cmp(&right.cost);
            order.then(left.victims.cmp(&right.victims))
        });
        Self {
            options,
            value_per_mb: value / used_mb.max(1.0),
            smallest_model_mb,
            combinations,
        }
    }

    /// Returns the cheapest combination that frees enough memory for a model of this size, with its
    /// whole cost; `None` if there is none with a value of at most `max_value`.
    pub fn cheapest(&self, size_mb: f64, max_value: f64) -> Option<(&Eviction, f64)> {
        let mut best: Option<(&Eviction, f64)> = None;
        for eviction in &self.combinations {
            match best {
                // The memory left over only adds to the cost.
                Some((_, cost)) if cost <= eviction.cost => break,
                _ => {}
            }
            if eviction.free_mb < size_mb || eviction.value > max_value {
                continue;
            }
            let cost = eviction.cost + self.stranded_cost(eviction.free_mb - size_mb);
            if best.is_none_or(|(_, best_cost)| cost < best_cost) {
                best = Some((eviction, cost));
            }
        }
        best
    }

    /// Returns the cost of memory that is left over and fits no model.
    fn stranded_cost(&self, left_mb: f64) -> f64 {
        match left_mb < self.smallest_model_mb {
            true => self.options.stranded_share * self.value_per_mb * left_mb,
            false => 0.0,
        }
    }
}

fn eviction_cost(candidate: &EvictionCandidate, options: &EvictionOptions) -> f64 {
    let drain_cost = match candidate.running {
        0 => 0.0,
        running => options.drain_cost + options.running_cost * f64::from(running),
    };
    candidate.keep_value + options.eviction_cost + drain_cost
}
