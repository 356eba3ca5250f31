//! Exchange of messages between VMs.
//!
//! VMs send each other small datagrams. Each message carries a state and not a change of it, so
//! that the next one makes up for a lost one, and no VM waits for an answer. The lease holder
//! announces itself, its forecasts and what engines hold to all others; the others send it their
//! demand. The number of messages thus grows linearly with the number of VMs.

use std::io;
use std::net::SocketAddr;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::LoadForecast;
use apricotdale_fleet::Freshness;
use apricotdale_fleet::residence_digests;
use apricotdale_fleet::serving_digest;
use apricotdale_fleet::versions_digest;
use apricotdale_holder::ResidenceUpdate;

use crate::codec::DecodeError;
use crate::daemon::Daemon;
use crate::messages::ForecastRow;
use crate::messages::PeerMessage;
use crate::messages::decode;
use crate::peers::HELLO_INTERVAL_MS;
use crate::peers::ROWS_PER_DATAGRAM;

/// Datagrams received in one iteration of the loop. Hundreds of VMs may send more than a small
/// share of a core can handle: with all of them received first, the holder would not renew its
/// lease in time, and the messages would reach a VM that has lost it.
const MAX_DATAGRAMS_PER_ITERATION: usize = 64;

/// Time between two heartbeats of the lease holder.
const HEARTBEAT_INTERVAL_MS: u64 = 400;

impl Daemon {
    /// Receives and handles messages of other VMs.
    pub(crate) fn receive_peer_messages(&mut self) {
        let mut bytes = [0_u8; 64 * 1024];
        self.peers.may_have_more = true;
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            match self.peers.receive(&mut bytes) {
                Ok((length, from)) => match decode(&bytes[..length]) {
                    Ok(message) => self.handle_message(from, message),
                    Err(error) => self.record_undecodable_message(from, &error),
                },
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.peers.may_have_more = false;
                    return;
                }
            }
        }
    }

    /// Counts a message that this version can't decode, and logs it once for each sender.
    fn record_undecodable_message(&mut self, from: SocketAddr, error: &DecodeError) {
        self.metrics.failed_attempt("bad_peer_message");
        if self.peers.should_log_undecodable(from) {
            let (from, reason) = (from.to_string(), error.detail.as_str());
            log::warn!(from, reason; "message of a VM not understood");
        }
    }

    fn handle_message(&mut self, from: SocketAddr, message: PeerMessage) {
        let now_ms = self.now_ms;
        match message {
            PeerMessage::Hello(record) => {
                let is_new = !self.peers.knows_vm(&record.vm);
                let is_other_incarnation = self.peers.record_sender(now_ms, &record);
                if is_new {
                    let hello = PeerMessage::Hello(self.peers.own.clone());
                    self.peers.send(record.address, &hello);
                }
                if self.engine_orders.held_lease_end(now_ms).is_some() {
                    self.send_blocks_to(record.address);
                    self.send_probations_to(record.address);
                }
                if is_other_incarnation {
                    self.send_local_reports_to(record.address, &record.vm);
                }
            }
            PeerMessage::Goodbye(vm) => {
                self.peers.forget(&vm);
                self.paths.forget_vm(now_ms, &vm);
                if self
                    .peers
                    .lease_holder
                    .as_ref()
                    .is_some_and(|(holder, ..)| *holder == vm)
                {
                    self.peers.lease_holder = None;
                }
            }
            PeerMessage::Demand {
                from: record,
                rows,
                detail,
            } => {
                self.peers.record_sender(now_ms, &record);
                for part in self
                    .engine_orders
                    .missed_residence_updates(&rows)
                    .chunks(ROWS_PER_DATAGRAM / 2)
                {
                    self.peers
                        .send(from, &PeerMessage::ResidenceUpdates(part.to_vec()));
                }
                self.engine_orders
                    .record_demand(now_ms, &record.vm, record.incarnation, rows);
                if let Some(detail) = detail {
                    self.engine_orders.record_detail(
                        now_ms,
                        &record.vm,
                        record.incarnation,
                        &detail,
                    );
                }
            }
            PeerMessage::Heartbeat {
                from,
                lease_end,
                forecasts,
                fresh,
                detail,
            } => {
                self.peers.record_sender(now_ms, &from);
                self.handle_era(lease_end.era);
                if self.engine_orders.is_from_older_lease(lease_end) {
                    return;
                }
                self.engine_orders.record_lease_end(now_ms, lease_end);
                if self
                    .peers
                    .lease_holder
                    .as_ref()
                    .is_none_or(|(holder, ..)| *holder != from.vm)
                {
                    let (holder, lease_end) = (from.vm.to_string(), lease_end.to_string());
                    log::info!(holder, lease_end; "another VM gives orders");
                }
                self.apply_freshness(&fresh);
                self.peers.lease_holder = Some((from.vm, from.address, now_ms));
                self.apply_forecasts(forecasts);
                if let Some(detail) = detail {
                    self.apply_heartbeat_detail(detail);
                }
            }
            PeerMessage::ListRead { from, fresh } => {
                self.peers.record_sender(now_ms, &from);
                self.apply_freshness(&fresh);
            }
            PeerMessage::Entries { read_to, entries } => {
                self.apply_announced_entries(read_to, entries)
            }
            PeerMessage::ResidenceUpdates(updates) => self.apply_residence_updates(updates),
            PeerMessage::ModelMissing { engine, model } => {
                self.handle_missing_model(&engine, &model)
            }
            PeerMessage::EngineUnresponsive(engine) => self.handle_peer_probe_failure(&engine),
            PeerMessage::EngineResponsive(engine) => self.handle_peer_probe_success(&engine),
            PeerMessage::HealthCheckRequested { from, upstream } => {
                self.handle_check_request(&from, &upstream)
            }
            PeerMessage::Released {
                lease_end,
                quiet_ms,
            } => self
                .engine_orders
                .record_release(now_ms, lease_end, quiet_ms),
            PeerMessage::Crashes(reports) => self.handle_crash_reports(&reports),
            PeerMessage::Blocks(rows) => self.apply_announced_blocks(&rows),
            PeerMessage::Cleared(fingerprint) => self.handle_cleared_request(&fingerprint, "told"),
            PeerMessage::ProbationEnded(part) => self.handle_ended_probation(&part),
            PeerMessage::BlocksRequested => {
                self.send_blocks_to(from);
                self.send_probations_to(from);
            }
            PeerMessage::Probations(rows) => self.handle_probations(from, &rows),
            PeerMessage::Answered(rows) => self.handle_peer_answers(&rows),
            PeerMessage::TrialRequested { asker, query } => self.decide_trial(from, asker, &query),
            PeerMessage::TrialDecided(answer) => {
                self.redispatch_needed |= self.crash_watch.record_trial_answer(now_ms, &answer);
            }
            PeerMessage::QuotaReport(report) => self.handle_quota_report(Some(from), &report),
            PeerMessage::QuotaAnswer(answer) => self.apply_quota_answer(&answer),
            PeerMessage::StatedLimits {
                limits,
                rejection_limits,
            } => {
                self.apply_announced_limits(&limits);
                self.apply_announced_rejection_limits(&rejection_limits);
            }
            PeerMessage::PermitReport(report) => self.handle_permit_report(Some(from), &report),
            PeerMessage::PermitAnswer(answer) => self.apply_permit_answer(&answer),
            PeerMessage::ConfigurationQuery { from: asker, era } => {
                self.answer_configuration_query(from, &asker, era);
            }
            PeerMessage::ConfigurationInForce {
                era,
                version,
                age_ms,
            } => self.apply_stated_configuration(era, version, age_ms),
            PeerMessage::Rejected { upstream, limit } => {
                self.apply_announced_rejection(&upstream, limit);
            }
            PeerMessage::LeaveStated(departure) => self.apply_departure(&departure),
            PeerMessage::RestStated { upstream, rest_ms } => {
                self.begin_rest(&upstream, "relayed", rest_ms);
            }
            PeerMessage::PathQuery { from, upstreams } => self.handle_path_query(from, &upstreams),
            PeerMessage::PathAnswer { from, answer } => self.apply_path_answer(from, answer),
            PeerMessage::TrialOver { asker, end } => {
                self.crash_watch.record_peer_trial_end(now_ms, asker, &end);
            }
            PeerMessage::StreamOrigins(origins) => self.record_told_origins(from, origins),
            PeerMessage::OriginQuery(query) => self.answer_origin_query(from, &query),
            PeerMessage::OriginAnswer(answer) => self.apply_origin_answer(from, &answer),
            PeerMessage::StatedLimitsRequested { is_first } => {
                self.answer_stated_limits_request(from, is_first)
            }
            PeerMessage::ObsoleteCrashes
            | PeerMessage::ObsoleteBlocks
            | PeerMessage::ObsoleteProbations
            | PeerMessage::ObsoleteTrialRequested
            | PeerMessage::ObsoleteTrialDecided
            | PeerMessage::ObsoleteTrialOver => {}
        }
    }

    /// Reports to the lease holder that an engine does not hold a model. Otherwise the holder would
    /// keep announcing to all VMs that the engine does.
    pub(crate) fn report_missing_model(&mut self, engine: &UpstreamName, model: &ModelName) {
        if self.engine_orders.held_lease_end(self.now_ms).is_some() {
            self.handle_missing_model(engine, model);
        } else if let Some((_, address, _)) = self.peers.lease_holder {
            let message = PeerMessage::ModelMissing {
                engine: engine.clone(),
                model: model.clone(),
            };
            self.peers.send(address, &message);
        }
    }

    /// Applies what another VM has read from the store.
    fn apply_freshness(&mut self, fresh: &Freshness) {
        let now_ms = self.now_ms;
        self.handle_era(fresh.list_read_to.era);
        // A VM that has not learned of the rollback does not know what the upstream list lacks now.
        if self.store_era.is_past(fresh.list_read_to.era) {
            return;
        }
        // The lease holder reads for itself, since the others depend on its announcements.
        if self.engine_orders.held_lease_end(now_ms).is_none() {
            let draw_ms = self.pacing.jitter_ms();
            self.sharing
                .handle_heartbeat(now_ms, fresh, self.pacing.spread_ms(), draw_ms);
        }
        if let Some(rate) = fresh.list_bytes_per_s {
            self.pacing.set_list_rate(rate);
        }
        if let Some(age_ms) = fresh.configuration_age_ms {
            self.record_stated_version(fresh.configuration, age_ms);
            if fresh.configuration == self.directory.version() {
                self.store_pollers
                    .record_confirmation(now_ms.saturating_sub(age_ms));
            }
        }
        self.check_for_newer_version();
        if let Some(read_ms) = fresh.complete_list_read_ms(now_ms) {
            // If only this VM was cut off, no entry has lapsed, and the upstreams that it misses
            // have left: it must not keep them any longer.
            self.directory.record_complete_list(read_ms);
        }
        for departure in &fresh.left {
            self.apply_departure(departure);
        }
        self.compare_upstream_list(fresh);
    }

    /// Schedules a read of the configuration if other VMs have announced a newer one.
    pub(crate) fn check_for_newer_version(&mut self) {
        let now_ms = self.now_ms;
        let is_outdated = self.sharing.announced_version() > self.directory.version();
        self.store_pollers.record_outdated(now_ms, is_outdated);
        if is_outdated {
            let at_ms = now_ms + self.pacing.jitter_ms();
            self.store_pollers.read_configuration_at(at_ms);
        }
    }

    /// Compares this VM's list with the one that another VM has read, and schedules repairs.
    fn compare_upstream_list(&mut self, fresh: &Freshness) {
        // A holder that can't read announces an old list until another VM takes over the lease.
        if !fresh.is_fresh() || !self.directory.is_listed() {
            return;
        }
        let is_same = serving_digest(&self.directory) == fresh.listed;
        let own_versions = versions_digest(&self.directory);
        let has_same_versions = fresh
            .versions
            .is_none_or(|versions| versions == own_versions);
        let holds_same: Vec<bool> = residence_digests(&self.directory)
            .iter()
            .zip(&fresh.held)
            .map(|(own, announced)| own == announced)
            .collect();
        self.store_pollers.set_snapshot_bytes(fresh.snapshot_bytes);
        let has_snapshot = fresh.snapshot_bytes > 0;
        let draw_ms = self.pacing.jitter_for_answer_ms(fresh.snapshot_bytes);
        let scheduled_read_ms = self.pacing.scheduled_read_ms();
        let now_ms = self.now_ms;
        let store_pollers = &mut self.store_pollers;
        store_pollers.listing_repair.record_comparison(
            now_ms,
            &[(is_same && has_same_versions) || !has_snapshot],
            draw_ms,
        );
        store_pollers
            .no_snapshot_repair
            .record_comparison(now_ms, &[is_same], scheduled_read_ms);
        store_pollers
            .residence_repair
            .record_comparison(now_ms, &holds_same, draw_ms);
        let holds_lease = self.engine_orders.held_lease_end(self.now_ms).is_some();
        if let (true, false, Some(read_to)) = (is_same, holds_lease, fresh.complete_list_read_to())
        {
            self.store_pollers.skip_list_to(read_to);
            self.directory.record_same_list(read_to);
        }
    }

    /// Returns what this VM has read from the store, for announcements.
    pub(crate) fn freshness(&mut self) -> Freshness {
        let now_ms = self.now_ms;
        let listed = serving_digest(&self.directory);
        Freshness {
            configuration: self.known_version(),
            configuration_age_ms: self.store_pollers.configuration_age_ms(now_ms),
            list_age_ms: self.store_pollers.list_age_ms(now_ms),
            list_complete: self.directory.is_list_complete(now_ms),
            list_read_to: self.store_pollers.list_read_to(),
            list_bytes_per_s: self.pacing.list_rate(),
            listed,
            snapshot_bytes: self.store_pollers.snapshot_bytes(listed),
            held: residence_digests(&self.directory),
            left: self.sharing.left(now_ms),
            versions: Some(versions_digest(&self.directory)),
        }
    }

    fn apply_forecasts(&mut self, forecasts: Vec<ForecastRow>) {
        let now_ms = self.now_ms;
        for row in forecasts {
            let ready_ms = row.ready_in_ms.map(|in_ms| now_ms + in_ms);
            self.dispatcher
                .record_forecast(now_ms, row.model, LoadForecast { ready_ms });
        }
        self.redispatch_needed = true;
    }

    pub(crate) fn apply_residence_updates(&mut self, updates: Vec<ResidenceUpdate>) {
        for update in updates {
            self.redispatch_needed |=
                self.residence_updates
                    .record(self.now_ms, &mut self.directory, update);
        }
    }

    /// Sends the messages that are due.
    pub(crate) fn advance_peers(&mut self) {
        let now_ms = self.now_ms;
        if now_ms >= self.peers.next_hello_ms {
            self.peers.next_hello_ms = u64::MAX;
            self.peers.send_hello();
        }
        if now_ms >= self.peers.next_residence_updates_ms {
            self.peers.send_residence_updates();
        }
        if now_ms >= self.peers.next_heartbeat_ms {
            self.peers.next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS;
            self.peers.last_heartbeat_ms = now_ms;
            self.send_heartbeat();
        }
        if now_ms >= self.peers.next_demand_ms {
            self.send_demand();
        }
    }

    fn send_heartbeat(&mut self) {
        let now_ms = self.now_ms;
        let Some(lease_end) = self.engine_orders.held_lease_end(now_ms) else {
            let silent = self
                .peers
                .lease_holder
                .as_ref()
                .is_none_or(|(.., heartbeat_ms)| {
                    now_ms.saturating_sub(*heartbeat_ms) > HELLO_INTERVAL_MS
                });
            if silent && self.peers.next_hello_ms == u64::MAX {
                self.peers.next_hello_ms = now_ms + HELLO_INTERVAL_MS;
            }
            return;
        };
        self.peers.lease_holder = Some((self.peers.own.vm.clone(), self.peers.own.address, now_ms));
        let rows = self.engine_orders.forecasts(now_ms);
        let from = self.peers.own.clone();
        let mut parts: Vec<Vec<ForecastRow>> = rows
            .chunks(ROWS_PER_DATAGRAM)
            .map(<[ForecastRow]>::to_vec)
            .collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        self.sharing.lead();
        let fresh = self.freshness();
        let mut detail = self.heartbeat_detail();
        if let Some(detail) = detail.clone() {
            self.apply_heartbeat_detail(detail);
        }
        for forecasts in parts {
            let heartbeat = PeerMessage::Heartbeat {
                from: from.clone(),
                lease_end,
                forecasts,
                fresh: fresh.clone(),
                detail: detail.take(),
            };
            self.peers.send_all(&heartbeat);
        }
        self.apply_forecasts(rows);
    }
}
