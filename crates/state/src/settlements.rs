//! Rules for settlements, which report the outcome of orders.
//!
//! The process that may send an order has certain knowledge of it, so its report on its own order
//! is accepted. A process that took the intent over knows only what the engine showed after the
//! takeover. An engine that shows the effect of a load proves that the load took effect. That a
//! load will have no effect is certain only where the order can no longer reach the engine; see
//! `docs/design/decisions.md`.

use apricotdale_core::control::SettledAs;
use apricotdale_core::control::Settlement;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::numbers::FencingToken;
use apricotdale_core::numbers::Offset;

use crate::control_state::ControlState;
use crate::control_state::Decision;
use crate::control_state::RecordStamp;
use crate::engines::Engine;
use crate::engines::Reading;
use crate::replicas::Progress;
use crate::replicas::Replica;
use crate::replicas::UnloadTask;
use crate::verdict::Accepted;
use crate::verdict::RejectReason;

impl ControlState {
    /// Decides on the settlement of a load.
    pub(crate) fn settle_load(&mut self, stamp: RecordStamp, settlement: &Settlement) -> Decision {
        let replica = self
            .replicas
            .get(settlement.intent)
            .ok_or(RejectReason::UnknownIntent)?;
        let epoch = settlement.proposer.epoch;
        match (&settlement.outcome, replica) {
            _ if replica.progress == Progress::Loaded => Err(RejectReason::UnknownIntent),
            _ if !may_settle(replica, epoch) => Err(RejectReason::NotOwner),
            (SettledAs::Done, _) => self.settle_loaded(stamp, settlement),
            (_, replica) if knows_outcome_of_own_order(replica, epoch) => {
                self.settle_own_order(settlement)
            }
            _ => self.settle_unseen_effect(settlement),
        }
    }

    fn settle_loaded(&mut self, stamp: RecordStamp, settlement: &Settlement) -> Decision {
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
        // The engine may have lost the model again before this record was appended. Without this
        // check the replica would count as loaded while the engine refuses its requests.
        if effect_has_ended(engine, reading, load) {
            self.remove_replica(load);
            return Ok(Accepted::LoadFreed);
        }
        engine.record_reading(reading);
        replica.progress = Progress::Loaded;
        replica.since_ms = stamp.appended_ms;
        replica.effect_seen_at = replica.effect_seen_at.max(Some(reading));
        Ok(Accepted::Loaded)
    }

    /// Accepts the report of a process that its own order has and will have no effect.
    fn settle_own_order(&mut self, settlement: &Settlement) -> Decision {
        let replica = self
            .replicas
            .get(settlement.intent)
            .ok_or(RejectReason::UnknownIntent)?;
        if settlement.outcome == SettledAs::Abandoned && replica.effect_seen_at.is_some() {
            return Err(RejectReason::OrderTookEffect);
        }
        // This prevents an older status that arrives late from showing the order's effect again.
        if let (Some(engine), Some(reading)) =
            (self.engines.get_mut(&replica.engine), reading(settlement))
        {
            engine.record_reading(reading);
        }
        self.remove_replica(settlement.intent);
        Ok(Accepted::LoadFreed)
    }

    /// Settles a load whose effect the engine did not show, reported by an owner that has no
    /// knowledge of what the sender did.
    fn settle_unseen_effect(&mut self, settlement: &Settlement) -> Decision {
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
        if let Some(effect_seen_at) = replica.effect_seen_at {
            return match reading > effect_seen_at {
                true => {
                    self.remove_replica(load);
                    Ok(Accepted::LoadFreed)
                }
                false => Err(RejectReason::OldReading),
            };
        }
        if reading.boot > engine.boot() {
            return Err(RejectReason::RunNotObserved);
        }
        record_absence(replica, engine, reading)?;
        let name = replica.engine.clone();
        self.remove_dead_replicas(&name);
        Ok(match self.replicas.get(load) {
            None => Accepted::LoadFreed,
            Some(replica) if replica.refused_by.is_some() => Accepted::LoadRevoked,
            Some(_) => Accepted::LoadLingers,
        })
    }

    /// Decides on the settlement of an unload.
    pub(crate) fn settle_unload(
        &mut self,
        _stamp: RecordStamp,
        settlement: &Settlement,
    ) -> Decision {
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
            // The replica keeps its memory, so this is safe even if the order still takes effect.
            // The next observation then shows that the replica is gone.
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
        let is_old = reading < engine.reading && lists_load(engine, task.load);
        let replica = self.replicas.get(task.load);
        let is_before = replica.is_some_and(|replica| replica.effect_seen_at >= Some(reading));
        // A status from before the replica existed does not prove that the replica is gone. If it
        // counted as proof, the replica's memory would be reassigned while it is in use.
        if is_old || is_before {
            return Err(RejectReason::OldReading);
        }
        engine.record_reading(reading);
        if replica.is_none() {
            engine.unmanaged.remove(&task.model);
        }
        self.remove_replica(task.load);
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

/// Records what follows from a status, read by the owner, that does not show the order's effect.
fn record_absence(
    replica: &mut Replica,
    engine: &Engine,
    reading: Reading,
) -> Result<(), RejectReason> {
    // The owner should have raised the engine's fence before it read the status. Only an
    // observation proves that it did: raising the fence can fail when reading the status succeeds.
    // Without this proof the order could take effect after its memory was reassigned.
    let is_refused = replica.refused_by == Some(engine.boot()) && reading.boot == engine.boot();
    // The owner read the status after its takeover. If the sender had ended before that, no later
    // incarnation of the engine has ever had a connection from the sender.
    let ended_before_takeover = replica
        .sender_ended_at
        .is_some_and(|ended_at| replica.owner.since >= ended_at);
    match replica.sender_ended_at {
        _ if ended_before_takeover => {
            let last_reachable_boot = replica.last_reachable_boot.unwrap_or(reading.boot);
            replica.last_reachable_boot = Some(last_reachable_boot.min(reading.boot));
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

/// Returns whether a process reports on its own order and knows how its attempt ended. A sender
/// that has taken over its own intent does not know that.
fn knows_outcome_of_own_order(replica: &Replica, epoch: Epoch) -> bool {
    replica.sender == epoch && replica.sender_ended_at.is_none()
}

/// Returns whether an engine has shown, after a status, that the effect of a load has ended.
fn effect_has_ended(engine: &Engine, reading: Reading, load: Offset) -> bool {
    let later = engine.reading.boot == reading.boot && engine.reading > reading;
    let is_gone = engine.is_gone() && reading.boot <= engine.boot();
    is_gone || engine.newest_reading.boot > reading.boot || (later && !lists_load(engine, load))
}

fn lists_load(engine: &Engine, load: Offset) -> bool {
    engine.resident_fences.contains(&FencingToken::from(load))
}

fn reading(settlement: &Settlement) -> Option<Reading> {
    Some(Reading {
        boot: settlement.boot?,
        sequence: settlement.sequence?,
    })
}
