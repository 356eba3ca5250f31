//! Engines that state something about themselves in their answers.

use apricotdale_standins::platform::PlatformEngine;

use crate::record::StatedLeaveSeen;
use crate::world::World;
use crate::world::pause;

/// Text by which an engine states that it leaves.
const LEAVING: &str = "1";

impl World {
    /// Has an engine state that it leaves, and ends it later.
    pub(crate) fn state_leave(&self, number: usize, calls: bool, for_ms: u64) {
        let number = self.serving_slot(number);
        self.leave(number, for_ms, |engine: &PlatformEngine| {
            engine.set_leaving(Some(LEAVING));
            if calls {
                engine.set_leaving_in_calls(Some(LEAVING));
            }
            self.events.lock().stated_leaves.push(StatedLeaveSeen {
                upstream: engine.name().to_owned(),
                from_ms: self.clock.now_ms(),
            });
        });
    }

    /// Returns the first slot from a number on whose engine has not ended; that number if all have.
    fn serving_slot(&self, number: usize) -> usize {
        let engines = self.engines.lock();
        let mut slots = (0..engines.len()).map(|step| (number + step) % engines.len());
        slots.find(|it| !engines[*it].is_down).unwrap_or(number)
    }

    /// Has an engine reject requests and ask for rest for a time, even if another engine replaces
    /// it meanwhile.
    pub(crate) fn rest(&self, number: usize, seconds: u64, for_ms: u64) {
        let number = self.serving_slot(number);
        let engine = {
            let engines = self.engines.lock();
            self.site.lock().engines[engines[number].index].clone()
        };
        engine.set_resting(Some(seconds));
        pause(for_ms);
        engine.set_resting(None);
    }
}
