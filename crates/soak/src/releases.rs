//! Releases of the engines' software.

use std::sync::Arc;

use apricotdale_standins::proxy::Proxy;

use crate::engines::mark_down;
use crate::fault::Trouble;
use crate::world::World;
use crate::world::pause;

impl World {
    /// Restarts the engines one after another with a version of their software. An engine that
    /// has ended or left by itself when its turn comes is replaced by one with that version.
    pub(crate) fn release(&self, release: &Trouble) {
        let Trouble::Release {
            first_engine,
            software,
            notice,
            drain_ms,
            down_ms,
            interval_ms,
        } = release
        else {
            return;
        };
        let engines = self.engines.lock().len();
        for number in (0..engines).map(|step| (first_engine + step) % engines) {
            if let Some((index, proxy)) = self.end_for_release(number, software, *notice, *drain_ms)
            {
                pause(*down_ms);
                // An engine that can't be replaced stays down.
                let _ = self.start_successor(number, index, &proxy);
            }
            pause(*interval_ms);
        }
    }

    /// Ends the engine of a slot and returns its index and its proxy; none if it has ended or left
    /// by itself.
    fn end_for_release(
        &self,
        number: usize,
        software: &str,
        notice: bool,
        drain_ms: u64,
    ) -> Option<(usize, Arc<Proxy>)> {
        let index = {
            let mut engines = self.engines.lock();
            let slot = engines.get_mut(number)?;
            slot.software = software.to_owned();
            match slot.is_down {
                true => return None,
                false => slot.index,
            }
        };
        let engine = self.site.lock().engines[index].clone();
        match notice {
            true => engine.drain(),
            false => engine.withdraw(),
        }
        self.record_end(index, self.clock.now_ms());
        pause(drain_ms);
        let (index, proxy) = {
            let mut engines = self.engines.lock();
            if engines[number].index != index {
                return None;
            }
            mark_down(&mut engines, number)?
        };
        self.record_break(&engine, self.clock.now_ms());
        proxy.go_down();
        self.site.lock().stop_engine(index);
        Some((index, proxy))
    }
}
