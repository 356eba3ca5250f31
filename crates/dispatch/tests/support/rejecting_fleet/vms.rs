//! VMs of the model: what they send, what they tell each other, and their permits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::RateLimit;
use apricotdale_dispatch::RejectionLimits;
use apricotdale_organisations::Limit;
use apricotdale_quota::AccountId;
use apricotdale_quota::AccountRule;
use apricotdale_quota::Admission;
use apricotdale_quota::QuotaClient;
use apricotdale_quota::QuotaOwner;
use rand::RngExt;

use super::FILL;
use super::Fleet;
use super::LOAD_VALID_MS;
use super::MAX_DENIED_MS;
use super::Message;
use super::OWNER_CANDIDATES;
use super::PERMIT_TIMEOUT_MS;
use super::Planted;
use super::QUESTION_INTERVAL_MS;
use super::RATE_BOUNDS;
use super::SLOTS;
use super::START_TIMEOUT_MS;
use super::Step;
use super::TABLE_INTERVAL_MS;
use super::Upstream;
use super::Vm;
use super::account;
use super::checks::VmChecks;
use super::rate_account;
use super::service;

impl Fleet {
    pub(super) fn start_vm(&mut self) -> Vm {
        self.next_run += 1;
        let incarnation = self.random.random();
        // Units at risk are not counted by these bounds, but by the rule of their account.
        let bounds = RATE_BOUNDS;
        let mut client = QuotaClient::new(incarnation, bounds);
        let mut owner = QuotaOwner::new(incarnation, bounds);
        client.set_vms(self.options.vms);
        owner.set_vms(self.options.vms);
        Vm {
            run: self.next_run,
            clock_offset_ms: self.random.random_range(0..10_000_000),
            limits: RejectionLimits::new(self.random.random()),
            client,
            owner,
            listed: BTreeSet::new(),
            loads: BTreeMap::new(),
            own: BTreeMap::new(),
            at_risk: BTreeMap::new(),
            pending: Vec::new(),
            started_ms: self.now_ms,
            started_untold: false,
            is_told: false,
            paused_until_ms: 0,
            partitioned_until_ms: 0,
            next_table_ms: 0,
            checks: VmChecks::default(),
        }
    }

    pub(super) fn restart_vm(&mut self, index: usize) {
        let mut vm = self.start_vm();
        let now_ms = self.now_ms;
        let running = self
            .upstreams
            .iter()
            .enumerate()
            .filter(|(_, it)| !it.is_down);
        vm.listed = running
            .map(|(index, it)| Upstream::name(index, it.run))
            .collect();
        vm.is_told = self.options.planted == Planted::NoWaitAtStart;
        vm.next_table_ms = now_ms;
        self.vms[index] = vm;
        if self.options.rate_per_s.is_some() {
            self.set_accounts(index);
        }
        for other in 0..OWNER_CANDIDATES.min(self.vms.len()) {
            self.send(index, other, Message::RowsRequested(index));
        }
    }

    /// Repeats the question of a VM that has started and has had no answer.
    pub(super) fn ask_again(&mut self, index: usize) {
        let passed_ms = self.now_ms - self.vms[index].started_ms;
        if !self.vms[index].is_told
            && passed_ms > 0
            && passed_ms.is_multiple_of(QUESTION_INTERVAL_MS)
        {
            self.send_all(index, &Message::RowsRequested(index));
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn answer(
        &mut self,
        index: usize,
        key: u64,
        name: &UpstreamName,
        sent_ms: u64,
        running: usize,
        is_rejection: bool,
        limit: Option<RateLimit>,
    ) {
        if !self.record_response(index, key, name) {
            return;
        }
        if limit.is_some() && sent_ms >= self.stated_from_ms {
            self.first_stated_ms.get_or_insert(self.now_ms);
        }
        let (now_ms, planted) = (self.now_ms, self.options.planted);
        let vm = &mut self.vms[index];
        let clock_ms = now_ms + vm.clock_offset_ms;
        vm.loads.insert(name.clone(), (running, now_ms));
        if let Some(own) = vm.own.get_mut(name) {
            *own = own.saturating_sub(1);
        }
        let is_change = vm.listed.contains(name)
            && vm.limits.record_answer(
                clock_ms,
                sent_ms + vm.clock_offset_ms,
                &service(),
                name,
                limit,
            );
        let at_risk = vm.at_risk.remove(&key);
        let is_refunded = !is_rejection || planted == Planted::RejectionsRefunded;
        match at_risk {
            Some(account) if is_refunded => drop(vm.client.refund(clock_ms, account)),
            Some(account) => vm.client.settle(account),
            None => {}
        }
        if limit.is_some() {
            let room = (SLOTS as f64 * FILL) as usize;
            let room = if is_rejection {
                0
            } else {
                room.saturating_sub(running)
            };
            vm.client.record_room(clock_ms, account(name), room as u32);
        }
        if is_rejection && limit.is_some() {
            vm.limits.record_rejection(clock_ms, name);
        }
        if is_change {
            self.set_accounts(index);
        }
        if is_rejection && limit.is_some() {
            self.send_all(index, &Message::Rejected(name.clone()));
        }
    }

    pub(super) fn set_accounts(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let clock_ms = self.now_ms + vm.clock_offset_ms;
        let limits = &vm.limits;
        let rules = vm.listed.iter().filter_map(|name| {
            let rule = AccountRule::AtRisk {
                max_per_s: limits.limit(&service(), name)?.per_s(),
                since_ms: limits.stated_since_ms(&service())?,
            };
            Some((account(name), rule))
        });
        let rate = self.options.rate_per_s.map(|rate_per_s| Limit {
            rate_per_s,
            burst: 0.0,
        });
        let rates = vm.listed.iter().filter_map(|name| {
            let rule = AccountRule::Usage(rate?);
            Some((rate_account(name), rule))
        });
        let rules: Vec<(AccountId, AccountRule)> = rules.chain(rates).collect();
        vm.client.set_accounts(clock_ms, rules.iter().copied());
        vm.owner.set_accounts(clock_ms, rules);
    }

    pub(super) fn deliver(&mut self, index: usize, message: Message) {
        let vm = &mut self.vms[index];
        let clock_ms = self.now_ms + vm.clock_offset_ms;
        match message {
            Message::Report(from, report) => {
                if let Some(answer) = vm.owner.handle(clock_ms, &report) {
                    self.send(index, from, Message::Answer(answer));
                }
            }
            Message::Answer(answer) => {
                vm.client.handle(clock_ms, &answer);
            }
            Message::Rows(rows) => {
                vm.is_told = true;
                let mut is_change = false;
                for row in &rows {
                    let is_listed = row
                        .upstream
                        .as_ref()
                        .is_some_and(|it| vm.listed.contains(it));
                    is_change |= vm.limits.apply(clock_ms, row, is_listed);
                }
                if is_change {
                    self.set_accounts(index);
                }
            }
            Message::RowsRequested(from) => {
                if vm.is_told {
                    let rows = vm.limits.announcements(clock_ms);
                    self.send(index, from, Message::Rows(rows));
                }
            }
            Message::Rejected(name) => vm.limits.record_rejection(clock_ms, &name),
            Message::CheckRequested(from, name) => self.hear_question(index, from, &name),
            Message::Verdict(name, is_responsive) => self.hear_verdict(index, &name, is_responsive),
        }
    }

    /// Sends what is due at a VM, and decides again on its waiting requests.
    pub(super) fn advance(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let is_silent = self.options.planted == Planted::NothingTold;
        let candidates = self.vms.len().min(OWNER_CANDIDATES);
        let vm = &mut self.vms[index];
        let clock_ms = now_ms + vm.clock_offset_ms;
        vm.is_told |= now_ms >= vm.started_ms + START_TIMEOUT_MS;
        let changes = match vm.limits.has_unannounced() && !is_silent {
            true => vm.limits.take_unannounced(clock_ms),
            false => Vec::new(),
        };
        let mut table = Vec::new();
        if index == 0 && now_ms >= vm.next_table_ms && !is_silent {
            vm.next_table_ms = now_ms + TABLE_INTERVAL_MS;
            table = vm.limits.announcements(clock_ms);
        }
        let report = vm.client.due_report(clock_ms, candidates);
        let owner = vm.client.owner_rank();
        let pending = std::mem::take(&mut vm.pending);
        for rows in [changes, table].into_iter().filter(|rows| !rows.is_empty()) {
            self.send_all(index, &Message::Rows(rows));
        }
        if let Some(report) = report {
            self.send(index, owner, Message::Report(index, report));
        }
        for (key, name, since_ms) in pending {
            self.request(index, key, name, since_ms);
        }
    }

    /// Chooses an upstream with room for a request, and sends it if it gets a permit.
    pub(super) fn dispatch(&mut self, index: usize, key: u64, since_ms: u64) {
        let now_ms = self.now_ms;
        let vm = &self.vms[index];
        let clock_ms = now_ms + vm.clock_offset_ms;
        let has_room = |name: &&UpstreamName| {
            let fill = match vm.limits.limit(&service(), name) {
                Some(_) => FILL,
                None => 1.0,
            };
            let (running, at_ms) = vm.loads.get(*name).copied().unwrap_or((0, 0));
            let is_valid = at_ms > 0 && now_ms < at_ms + LOAD_VALID_MS;
            let own = vm.own.get(*name).copied().unwrap_or(0);
            let requests = if is_valid { running.max(own) } else { own };
            (requests as f64) < SLOTS as f64 * fill
                && !vm.limits.is_held_back(clock_ms, name)
                && !vm.checks.is_suspended(now_ms, name)
        };
        let free: Vec<&UpstreamName> = vm.listed.iter().filter(has_room).collect();
        if !vm.is_told || free.is_empty() {
            return;
        }
        let name = free[self.random.random_range(0..free.len())].clone();
        self.request(index, key, name, since_ms);
    }

    pub(super) fn request(&mut self, index: usize, key: u64, name: UpstreamName, since_ms: u64) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        let clock_ms = now_ms + vm.clock_offset_ms;
        let account = account(&name);
        if !vm.listed.contains(&name) {
            vm.client.withdraw(account, key);
            return;
        }
        let is_late = now_ms >= since_ms + PERMIT_TIMEOUT_MS;
        match self.admit(index, key, &name, true) {
            Admission::Admitted => {}
            Admission::Pending if !is_late => {
                self.vms[index].pending.push((key, name, since_ms));
                return;
            }
            admission => {
                let denied_ms = match admission {
                    Admission::Refused { retry_after_ms } => retry_after_ms,
                    _ => None,
                };
                let denied_ms = denied_ms.map_or(MAX_DENIED_MS, |it| it.min(MAX_DENIED_MS));
                self.withdraw(index, key, &name);
                let limits = &mut self.vms[index].limits;
                limits.hold_back(&name, clock_ms + denied_ms);
                return;
            }
        }
        let vm = &mut self.vms[index];
        *vm.own.entry(name.clone()).or_default() += 1;
        let arrives = Step::Arrives {
            vm: index,
            run: vm.run,
            key,
            name: name.clone(),
            sent_ms: now_ms,
            is_check: false,
        };
        self.record_request(index, key, &name);
        let after_ms = self.random.random_range(1..5);
        self.schedule(after_ms, arrives);
    }

    /// Asks for the permits that the limits of an upstream demand. `is_at_risk` is whether that on
    /// rejections does.
    pub(super) fn admit(
        &mut self,
        index: usize,
        key: u64,
        name: &UpstreamName,
        is_at_risk: bool,
    ) -> Admission {
        let vm = &mut self.vms[index];
        let clock_ms = self.now_ms + vm.clock_offset_ms;
        let is_limited = is_at_risk && vm.limits.limit(&service(), name).is_some();
        if is_limited && !vm.at_risk.contains_key(&key) {
            match vm.client.admit(clock_ms, account(name), key, 1) {
                Admission::Admitted => {
                    vm.at_risk.insert(key, account(name));
                }
                admission => return admission,
            }
        }
        match self.options.rate_per_s {
            Some(_) => vm.client.admit(clock_ms, rate_account(name), key, 1),
            None => Admission::Admitted,
        }
    }

    /// Withdraws what a request or check has been granted or has asked for.
    pub(super) fn withdraw(&mut self, index: usize, key: u64, name: &UpstreamName) {
        let vm = &mut self.vms[index];
        let clock_ms = self.now_ms + vm.clock_offset_ms;
        vm.client.withdraw(account(name), key);
        vm.client.withdraw(rate_account(name), key);
        if let Some(account) = vm.at_risk.remove(&key) {
            vm.client.refund(clock_ms, account);
        }
    }
}
