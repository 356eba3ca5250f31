//! Which models engines held over a run, and what was in use of that.

use std::collections::BTreeMap;
use std::time::Duration;

/// `Held` is a model in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The model.
    pub model: String,
    /// Whether it can serve.
    pub loaded: bool,
    /// The memory it takes.
    pub bytes: u64,
}

/// `Use` is a stretch of time in which a request was on a model at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Use {
    /// The engine.
    pub engine: String,
    /// The model, and the adapter's base if it is one.
    pub models: Vec<String>,
    /// When it began.
    pub from: Duration,
    /// When it ended.
    pub to: Duration,
}

/// `Timeline` is what each engine held from when on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Timeline {
    engines: BTreeMap<String, Vec<(Duration, Vec<Held>)>>,
    end: Duration,
}

impl Timeline {
    /// Notes what an engine holds at a moment. The moments of one engine must not go back.
    pub fn note(&mut self, at: Duration, engine: &str, held: Vec<Held>) {
        self.end = self.end.max(at);
        let states = self.engines.entry(engine.to_owned()).or_default();
        if states.last().is_none_or(|(_, last)| *last != held) {
            states.push((at, held));
        }
    }

    /// Returns the last moment that was noted.
    pub fn end(&self) -> Duration {
        self.end
    }

    /// Returns the first moment from a given one on at which an engine could serve a model, or none
    /// if there is no such moment.
    pub fn first_loaded(&self, model: &str, from: Duration) -> Option<Duration> {
        let spans = self.engines.keys().flat_map(|engine| self.spans(engine));
        spans
            .filter(|(_, to, held)| *to > from && held.loaded && held.model == model)
            .map(|(begin, _, _)| begin.max(from))
            .min()
    }

    /// Returns for how long accelerators held models that no request was on, weighted by the share
    /// of an accelerator's memory, between two moments.
    pub fn idle(
        &self,
        uses: &[Use],
        capacity_bytes: u64,
        from: Duration,
        to: Duration,
    ) -> Duration {
        let mut idle_s = 0.0;
        for engine in self.engines.keys() {
            let of_engine: Vec<&Use> = uses.iter().filter(|one| one.engine == *engine).collect();
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

    /// Returns the stretches of time in which an engine held each model in the same way.
    fn spans(&self, engine: &str) -> impl Iterator<Item = (Duration, Duration, &Held)> {
        let states = self.engines.get(engine).map_or(&[][..], Vec::as_slice);
        let ends = states.iter().skip(1).map(|(at, _)| *at).chain([self.end]);
        states.iter().zip(ends).flat_map(|((begin, held), end)| {
            let begin = *begin;
            held.iter().map(move |held| (begin, end, held))
        })
    }
}

/// Returns how much time the stretches cover together.
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
