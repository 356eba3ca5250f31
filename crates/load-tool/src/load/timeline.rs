//! Models held by the engines over the time of a run, and how long their memory was idle.

use std::collections::BTreeMap;
use std::time::Duration;

/// Model in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldModel {
    /// Name of the model.
    pub model: String,
    /// Whether the model can serve; false while it loads or unloads.
    pub loaded: bool,
    /// Memory that the model occupies on the engine, in bytes.
    pub bytes: u64,
}

/// Interval in which a request occupied a model on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// Name of the engine.
    pub engine: String,
    /// Names of the requested model and, if that is an adapter, of its base.
    pub models: Vec<String>,
    /// Begin of the interval, since the start of the run.
    pub from: Duration,
    /// End of the interval, since the start of the run.
    pub to: Duration,
}

/// Models held by each engine, with the time of each change since the start of the run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Timeline {
    engines: BTreeMap<String, Vec<(Duration, Vec<HeldModel>)>>,
    end: Duration,
}

impl Timeline {
    /// Records the models that an engine holds at time `at`. The times of one engine must not
    /// decrease.
    pub fn record(&mut self, at: Duration, engine: &str, held: Vec<HeldModel>) {
        self.end = self.end.max(at);
        let states = self.engines.entry(engine.to_owned()).or_default();
        if states.last().is_none_or(|(_, last)| *last != held) {
            states.push((at, held));
        }
    }

    /// Returns the latest recorded time of any engine.
    pub fn end(&self) -> Duration {
        self.end
    }

    /// Returns the first time from `from` on at which an engine could serve a model, or none if no
    /// engine could until the end.
    pub fn first_loaded(&self, model: &str, from: Duration) -> Option<Duration> {
        let spans = self.engines.keys().flat_map(|engine| self.spans(engine));
        spans
            .filter(|(_, to, held)| *to > from && held.loaded && held.model == model)
            .map(|(begin, _, _)| begin.max(from))
            .min()
    }

    /// Returns how long engines held models that served no request between `from` and `to`, each
    /// model weighted by the share of `capacity_bytes` that it occupies.
    pub fn idle(
        &self,
        occupancies: &[Occupancy],
        capacity_bytes: u64,
        from: Duration,
        to: Duration,
    ) -> Duration {
        let mut idle_s = 0.0;
        for engine in self.engines.keys() {
            let of_engine: Vec<&Occupancy> = occupancies
                .iter()
                .filter(|one| one.engine == *engine)
                .collect();
            for (begin, end, held) in self.spans(engine) {
                let (begin, end) = (begin.max(from), end.min(to));
                if begin >= end {
                    continue;
                }
                let in_use = of_engine
                    .iter()
                    .filter(|one| one.models.contains(&held.model))
                    .map(|one| (one.from.max(begin), one.to.min(end)));
                let unused = (end - begin).saturating_sub(covered(in_use.collect()));
                idle_s += unused.as_secs_f64() * held.bytes as f64 / capacity_bytes as f64;
            }
        }
        Duration::from_secs_f64(idle_s)
    }

    /// Returns the intervals in which the engine's set of held models did not change, one for each
    /// model in the set.
    fn spans(&self, engine: &str) -> impl Iterator<Item = (Duration, Duration, &HeldModel)> {
        let states = self.engines.get(engine).map_or(&[][..], Vec::as_slice);
        let ends = states.iter().skip(1).map(|(at, _)| *at).chain([self.end]);
        states.iter().zip(ends).flat_map(|((begin, held), end)| {
            let begin = *begin;
            held.iter().map(move |held| (begin, end, held))
        })
    }
}

/// Returns the total time covered by the intervals, counting overlaps once.
fn covered(mut stretches: Vec<(Duration, Duration)>) -> Duration {
    stretches.sort();
    let mut covered = Duration::ZERO;
    let mut reached = Duration::ZERO;
    for (from, to) in stretches {
        let from = from.max(reached);
        if to > from {
            covered += to - from;
            reached = to;
        }
    }
    covered
}
