//! Rules of the records that say how an order ended.
//!
//! The process that may send an order knows best: what it says of its own order stands. Whoever
//! took the intent over knows only what the engine showed it afterwards. That a load took effect is
//! certain once the engine shows it. That it will not is certain only for as far as the order can
//! no longer reach the engine; see `docs/design/decisions.md`.

use apricotdale_core::control::SettledAs;
use apricotdale_core::control::Settlement;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::numbers::FencingToken;
use apricotdale_core::numbers::Offset;

use crate::control_state::ControlState;
use crate::control_state::Decision;
use crate::control_state::Moment;
use crate::engines::Engine;
use crate::engines::Reading;
use crate::replicas::Progress;
use crate::replicas::Replica;
use crate::replicas::UnloadTask;
use crate::verdict::Accepted;
use crate::verdict::RejectReason;

impl ControlState {
    /// Decides on the outcome of a load.
    pub(crate) fn settle_load(&mut self, moment: Moment, settlement: &Settlement) -> Decision {
        let replica = self
            .replicas
            .get(settlement.intent)
            .ok_or(RejectReason::UnknownIntent)?;
        let epoch = settlement.proposer.epoch;
        match (&settlement.outcome, replica) {
            _ if replica.progress == Progress::Loaded => Err(RejectReason::UnknownIntent),
            _ if !may_settle(replica, epoch) => Err(RejectReason::NotOwner),
            (SettledAs::Done, _) => self.settle_loaded(moment, settlement),
            (_, replica) if speaks_of_own_order(replica, epoch) => self.settle_own(settlement),
            _ => self.settle_absent(settlement),
        }
    }

    fn settle_loaded(&mut self, moment: Moment, settlement: &Settlement) -> Decision {
        let reading = reading(settlement).ok_or(RejectReason::NoReading)?;
        let load = settlement.intent;
        let replica = self
            .replicas
            .get_mut(load)
            .ok_or(RejectReason::UnknownIntent)?;
        let engine = self
            .engines
            .get_mut(&replica.engine)
            .ok_or(RejectReason::UnknownEngine)?;
        // The engine may have lost the model again before its answer came onto the stream. One
        // would notice by requests that this engine refuses although the replica counts as loaded.
        if is_over(engine, reading, load) {
            self.forget(load);
            return Ok(Accepted::LoadFreed);
        }
        engine.note_reading(reading);
        replica.progress = Progress::Loaded;
        replica.since_ms = moment.appended_ms;
        replica.shown = replica.shown.max(Some(reading));
        Ok(Accepted::Loaded)
    }

    /// Takes the word of a process that its own order had and will have no effect.
    fn settle_own(&mut self, settlement: &Settlement) -> Decision {
        let replica = self
            .replicas
            .get(settlement.intent)
            .ok_or(RejectReason::UnknownIntent)?;
        if settlement.outcome == SettledAs::Abandoned && replica.shown.is_some() {
            return Err(RejectReason::OrderTookEffect);
        }
        // With a reading, an older one that comes late can't show the order's effect once more.
        if let (Some(engine), Some(reading)) =
            (self.engines.get_mut(&replica.engine), reading(settlement))
        {
            engine.note_reading(reading);
        }
        self.forget(settlement.intent);
        Ok(Accepted::LoadFreed)
    }

    /// Decides what it means that an engine did not show the order's effect to an owner who can't
    /// speak for the sender.
    fn settle_absent(&mut self, settlement: &Settlement) -> Decision {
        let reading = reading(settlement).ok_or(RejectReason::NoReading)?;
        let load = settlement.intent;
        let replica = self
            .replicas
            .get_mut(load)
            .ok_or(RejectReason::UnknownIntent)?;
        let engine = self
            .engines
            .get(&replica.engine)
            .ok_or(RejectReason::UnknownEngine)?;
        if let Some(shown) = replica.shown {
            return match reading > shown {
                true => {
                    self.forget(load);
                    Ok(Accepted::LoadFreed)
                }
                false => Err(RejectReason::OldReading),
            };
        }
        if reading.boot > engine.boot() {
            return Err(RejectReason::RunNotObserved);
        }
        note_absence(replica, engine, reading)?;
        let name = replica.engine.clone();
        self.sweep(&name);
        Ok(match self.replicas.get(load) {
            None => Accepted::LoadFreed,
            Some(replica) if replica.refused_by.is_some() => Accepted::LoadRevoked,
            Some(_) => Accepted::LoadLingers,
        })
    }

    /// Decides on the outcome of an unload.
    pub(crate) fn settle_unload(&mut self, _moment: Moment, settlement: &Settlement) -> Decision {
        let task = self
            .unloads
            .get(&settlement.intent)
            .ok_or(RejectReason::UnknownIntent)?;
        let epoch = settlement.proposer.epoch;
        if epoch != task.owner.epoch && epoch != task.sender {
            return Err(RejectReason::NotOwner);
        }
        let task = task.clone();
        match settlement.outcome {
            SettledAs::Done => {
                let reading = reading(settlement).ok_or(RejectReason::NoReading)?;
                self.finish_unload(settlement.intent, &task, reading)
            }
            // The replica keeps its memory, so this is safe even if the order still takes effect;
            // the next observation then shows that the replica is gone.
            SettledAs::Failed(_) | SettledAs::Abandoned => {
                self.cancel_unload(settlement.intent, &task);
                Ok(Accepted::UnloadCancelled)
            }
        }
    }

    fn finish_unload(&mut self, unload: Offset, task: &UnloadTask, reading: Reading) -> Decision {
        let engine = self
            .engines
            .get_mut(&task.engine)
            .ok_or(RejectReason::UnknownEngine)?;
        let is_old = reading < engine.reading && shows(engine, task.load);
        let replica = self.replicas.get(task.load);
        let is_before = replica.is_some_and(|replica| replica.shown >= Some(reading));
        // A status from before the replica was there says nothing of the replica. Taking it for
        // the replica's end would give its memory away while it is in use.
        if is_old || is_before {
            return Err(RejectReason::OldReading);
        }
        engine.note_reading(reading);
        if replica.is_none() {
            engine.unmanaged.remove(&task.model);
        }
        self.forget(task.load);
        self.unloads.remove(&unload);
        Ok(Accepted::Unloaded)
    }

    fn cancel_unload(&mut self, unload: Offset, task: &UnloadTask) {
        self.unloads.remove(&unload);
        if let Some(replica) = self.replicas.get_mut(task.load) {
            replica.unload = None;
            return;
        }
        let engine = self.engines.get_mut(&task.engine);
        let resident = engine.and_then(|engine| engine.unmanaged.get_mut(&task.model));
        if let Some(resident) = resident {
            resident.unload = None;
        }
    }
}

/// Notes what follows from an owner's reading that does not show the order's effect.
fn note_absence(
    replica: &mut Replica,
    engine: &Engine,
    reading: Reading,
) -> Result<(), RejectReason> {
    // The owner should have raised the engine's fence before it took the reading. Only an
    // observation proves that it did: raising the fence can fail where reading the status does not.
    // Without the proof the order could take effect after its memory was given away.
    let is_refused = replica.refused_by == Some(engine.boot()) && reading.boot == engine.boot();
    // The owner took the reading after its takeover. If the sender had ended before that, no later
    // run of the engine has ever had a connection from the sender.
    let quiet_before = replica
        .sender_ended_at
        .is_some_and(|quiet| replica.owner.since >= quiet);
    match replica.sender_ended_at {
        _ if quiet_before => {
            let last_boot = replica.last_boot.unwrap_or(reading.boot);
            replica.last_boot = Some(last_boot.min(reading.boot));
            Ok(())
        }
        _ if is_refused => Ok(()),
        None => Err(RejectReason::SenderMayAct),
        Some(_) => Err(RejectReason::TakeOverTooOld),
    }
}

fn may_settle(replica: &Replica, epoch: Epoch) -> bool {
    replica.sender == epoch || replica.owner.epoch == epoch
}

/// Returns whether a process settles an order that it may itself have sent, with knowledge of how
/// its attempt ended. A sender that has taken its own intent over does not have that knowledge.
fn speaks_of_own_order(replica: &Replica, epoch: Epoch) -> bool {
    replica.sender == epoch && replica.sender_ended_at.is_none()
}

/// Returns whether an engine has shown since a reading that a load's effect is gone again.
fn is_over(engine: &Engine, reading: Reading, load: Offset) -> bool {
    let later = engine.reading.boot == reading.boot && engine.reading > reading;
    let is_gone = engine.is_gone() && reading.boot <= engine.boot();
    is_gone || engine.floor.boot > reading.boot || (later && !shows(engine, load))
}

fn shows(engine: &Engine, load: Offset) -> bool {
    engine.resident_fences.contains(&FencingToken::from(load))
}

fn reading(settlement: &Settlement) -> Option<Reading> {
    Some(Reading {
        boot: settlement.boot?,
        sequence: settlement.sequence?,
    })
}
