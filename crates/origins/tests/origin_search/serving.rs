//! What VMs do with requests, and callers with broken streams.

use apricotdale_core::names::RequestId;
use apricotdale_origins::ASKED_HOLDERS;
use apricotdale_origins::Evidence;
use apricotdale_origins::OriginAnswer;
use apricotdale_origins::OriginQuery;
use apricotdale_origins::OriginUnknown;
use apricotdale_origins::Resumption;
use apricotdale_origins::holders;

use crate::callers::MAX_ATTEMPTS;
use crate::engines::Writer;
use crate::vm::Active;
use crate::vm::Found;
use crate::vm::LIFETIME_MS;
use crate::vm::StreamInProgress;
use crate::vm::TELL_INTERVAL_MS;
use crate::world::Event;
use crate::world::Message;
use crate::world::Work;
use crate::world::World;

/// Gap after which a caller abandons a stream.
const PATIENCE_MS: u64 = 2_000;

/// Time within which a VM refuses a stream whose origin it can't find.
const REFUSAL_MS: u64 = 400;

const MAX_SENDS: u32 = 6;

impl World {
    pub fn begin_attempt(&mut self, number: usize) {
        let is_ready = |vm: &crate::vm::Vm| vm.is_alive && !vm.is_leaving && vm.read_ms.is_some();
        let ready: Vec<usize> = (0..self.vms.len())
            .filter(|vm| is_ready(&self.vms[*vm]))
            .collect();
        if ready.is_empty() {
            self.at(self.now_ms + 300, Event::Attempt(number));
            return;
        }
        let vm = ready[self.between(0, ready.len() as u64 - 1) as usize];
        let now_ms = self.now_ms;
        self.callers[number].begin(now_ms, number);
        let attempt = self.callers[number].attempt;
        self.at(now_ms + PATIENCE_MS, Event::Patience(number, attempt));
        let key = self.next_key;
        self.next_key += 1;
        let stream = self.stream_of(vm, number);
        if self.vms[vm].is_old {
            self.callers[number].is_expected = false;
        }
        let resumes = self.callers[number].first.is_some();
        let text = format!("attempt at vm {vm}, resumes {resumes}");
        self.trace(number, text);
        let active = Active {
            caller: number,
            attempt,
            stream,
            origin: None,
            has_begun: false,
            sends: 0,
            tried: Vec::new(),
            arrived_ms: now_ms,
            step: 0,
            sent: None,
        };
        if self.callers[number].is_expected {
            self.stats.reach("expected");
        }
        self.vms[vm].active.insert(key, active);
        self.dispatch(vm, key);
    }

    /// Returns the stream that an attempt begins or resumes, as the daemon does.
    fn stream_of(&mut self, vm: usize, number: usize) -> StreamInProgress {
        let caller = &self.callers[number];
        let organisation = caller.organisation.clone();
        let own = self.vms[vm].stream_id(&caller.attempt_id, &organisation);
        let Some(first) = caller.first.clone() else {
            return StreamInProgress {
                id: Some(own),
                search: None,
                searched: own,
                own,
            };
        };
        let resumes = self.named_id(number, first);
        let searched = resumes.map_or(own, |id| self.vms[vm].stream_id(&id, &organisation));
        let services = [self.callers[number].service.clone()];
        let now_ms = self.now_ms;
        let evidence = self.vms[vm].evidence(now_ms, searched, &services);
        let asked = match evidence {
            Evidence::Conflict => Vec::new(),
            _ => holders(searched, &self.vms[vm].known, ASKED_HOLDERS),
        };
        let search = Resumption::new(now_ms, evidence, asked);
        let search = Some(search).filter(|_| !self.vms[vm].is_old);
        StreamInProgress {
            id: None,
            search,
            searched,
            own,
        }
    }

    /// Returns the ID that a caller names as that of the stream.
    fn named_id(&mut self, number: usize, first: RequestId) -> Option<RequestId> {
        let is_wrong = self.options.has_wrong_ids && self.chance(0.4);
        let caller = &self.callers[number];
        let is_other = |it: &&crate::callers::Caller| {
            it.organisation != caller.organisation && it.repeated_id.is_none()
        };
        let others = self.callers.iter().filter(is_other);
        let foreign = others.filter_map(|it| it.first.clone()).next_back();
        match is_wrong.then(|| self.between(0, 2)) {
            None => {
                self.expect_resumption(number);
                Some(first)
            }
            Some(0) => {
                self.stats.reach("missing_id");
                None
            }
            Some(1) if foreign.is_some() => {
                self.stats.reach("foreign_id");
                foreign
            }
            Some(_) => {
                self.stats.reach("unknown_id");
                Some(RequestId::from(format!("unknown-{number}")))
            }
        }
    }

    /// Decides whether an attempt has to be able to resume its stream.
    fn expect_resumption(&mut self, number: usize) {
        let caller = &self.callers[number];
        let writer = caller.writers.last().expect("an event");
        let is_known = matches!(writer, Writer::Version(..));
        let is_recent = caller
            .recorded_ms
            .is_some_and(|at_ms| self.now_ms < at_ms + LIFETIME_MS - 500);
        let is_served = self.engines.serving_alike(writer) >= 2;
        let is_sound = !caller.is_exempt && !caller.shares_id;
        let is_expected = is_known && is_recent && is_served && is_sound;
        self.callers[number].is_expected = is_expected;
    }

    pub fn dispatch(&mut self, vm: usize, key: u64) {
        let Some(active) = self.vms[vm].active.get(&key) else {
            return;
        };
        if active.sent.is_some() {
            return;
        }
        match self.vms[vm].find_origin(self.now_ms, key) {
            Found::Ready => self.send(vm, key),
            Found::Wait(again_ms) => {
                let delay_ms = again_ms.saturating_sub(self.now_ms);
                self.work_in(vm, delay_ms, Work::Wake(key));
            }
            Found::Ask(vms, stream, again_ms) => {
                let delay_ms = again_ms.saturating_sub(self.now_ms);
                self.work_in(vm, delay_ms, Work::Wake(key));
                let services = vec![self.services[0].clone()];
                for to in vms {
                    let services = services.clone();
                    let query = OriginQuery { stream, services };
                    self.send_datagram(vm, &to, Message::Query(vm, query));
                }
            }
            Found::Unknown(reason) => {
                let active = &self.vms[vm].active[&key];
                let late_ms = self.now_ms - active.arrived_ms;
                let was_paused = self.vms[vm].paused_until_ms >= active.arrived_ms;
                if late_ms > REFUSAL_MS && !was_paused {
                    self.fail("late", format!("refused after {late_ms} ms"));
                }
                let name = match reason {
                    OriginUnknown::SeveralVersions => "refused_several_versions",
                    OriginUnknown::NoEvidence => "refused_no_evidence",
                    OriginUnknown::Conflict => "refused_conflict",
                };
                self.refuse(vm, key, name);
            }
        }
    }

    fn refuse(&mut self, vm: usize, key: u64, reason: &'static str) {
        self.stats.reach(reason);
        let Some(active) = self.vms[vm].active.remove(&key) else {
            return;
        };
        self.trace(active.caller, format!("vm {vm} refuses: {reason}"));
        let caller = &self.callers[active.caller];
        let is_current = caller.attempt == active.attempt && !active.has_begun;
        if is_current && caller.is_expected {
            let writer = caller.writers.last().expect("an event");
            match self.engines.serving_alike(writer) >= 2 {
                true => {
                    let trail = caller.trail.join("; ");
                    let text = format!("caller {}: {reason}: {trail}", active.caller);
                    self.fail("lost", text);
                }
                false => self.stats.reach("expected_no_more"),
            }
        }
        self.break_connection(active.caller, active.attempt);
    }

    fn send(&mut self, vm: usize, key: u64) {
        let state = &self.vms[vm];
        let active = &state.active[&key];
        let service = &self.callers[active.caller].service;
        let accepts = |origin: &apricotdale_core::origin::Origin| {
            let known = active.origin.as_ref().filter(|_| !state.is_old);
            known.is_none_or(|known| known.accepts(origin))
        };
        let mut candidates = Vec::new();
        for (instance, entry) in &state.list {
            let origin = state.origin_of(instance).expect("a listed engine");
            if entry.is_serving && entry.service == *service && accepts(&origin) {
                candidates.push((instance.clone(), origin));
            }
        }
        let untried: Vec<_> = candidates
            .iter()
            .filter(|(instance, _)| !active.tried.contains(instance))
            .cloned()
            .collect();
        if !untried.is_empty() {
            candidates = untried;
        }
        if candidates.is_empty() || active.sends >= MAX_SENDS {
            let reason = match candidates.is_empty() {
                true => "refused_version_gone",
                false => "refused_after_sends",
            };
            self.refuse(vm, key, reason);
            return;
        }
        if self.vms[vm].is_old {
            let caller = self.vms[vm].active[&key].caller;
            let caller = &mut self.callers[caller];
            caller.is_exempt |= !caller.writers.is_empty();
        }
        let index = self.between(0, candidates.len() as u64 - 1) as usize;
        let (instance, origin) = candidates.swap_remove(index);
        let number = self.engines.current.get(&instance).copied();
        let accepts = |number: &usize| self.engines.processes[*number].rejects_since_ms.is_none();
        let number = number.filter(accepts);
        let slow_ms = self.between(0, 1_200);
        let delay_ms = match self.chance(0.1) {
            true => slow_ms,
            false => 5 + slow_ms / 20,
        };
        let active = self.vms[vm].active.get_mut(&key).expect("active");
        active.sends += 1;
        active.step += 1;
        active.tried.push(instance.clone());
        let step = active.step;
        let (caller, known) = (active.caller, active.origin.clone());
        let text = format!("vm {vm} sends to {instance}, {origin:?}, continues {known:?}");
        self.trace(caller, text);
        let active = self.vms[vm].active.get_mut(&key).expect("active");
        match number {
            Some(number) => {
                active.sent = Some((number, origin));
                let writer = self.engines.writer(number);
                self.work_in(vm, delay_ms, Work::Head(key, step, writer));
            }
            None => {
                active.sent = Some((usize::MAX, origin));
                self.work_in(vm, 2, Work::SendFailed(key, step));
            }
        }
    }

    pub fn handle_failed_send(&mut self, vm: usize, key: u64, step: u64) {
        match self.vms[vm].active.get_mut(&key) {
            Some(active) if active.step == step => {
                active.sent = None;
                self.dispatch(vm, key);
            }
            _ => {}
        }
    }

    pub fn handle_head(&mut self, vm: usize, key: u64, step: u64, writer: Writer) {
        let Some(active) = self.vms[vm].active.get(&key) else {
            return;
        };
        let Some((number, sent)) = active.sent.clone().filter(|_| active.step == step) else {
            return;
        };
        let process = &self.engines.processes[number];
        if !process.is_alive {
            self.handle_failed_send(vm, key, step);
            return;
        }
        let now = self.vms[vm].origin_of(&process.instance);
        let now = now.filter(|now| now.upstream == sent.upstream);
        let source = sent.corrected(now.as_ref());
        if source.version != sent.version {
            self.stats.reach("corrected");
        }
        let is_old = self.vms[vm].is_old;
        let active = self.vms[vm].active.get_mut(&key).expect("active");
        let fits = active
            .origin
            .as_ref()
            .is_none_or(|known| known.accepts(&source));
        match fits || is_old {
            true => {
                active.sent = Some((number, source.clone()));
                let caller = active.caller;
                self.trace(caller, format!("head of {number} as {source:?}"));
                let delay_ms = self.between(5, 100);
                self.work_in(vm, delay_ms, Work::Piece(key, step, writer));
            }
            false => {
                self.stats.reach("mismatch");
                self.handle_failed_send(vm, key, step);
            }
        }
    }

    pub fn handle_piece(&mut self, vm: usize, key: u64, step: u64, writer: Writer) {
        let Some(active) = self.vms[vm].active.get(&key) else {
            return;
        };
        let Some((number, source)) = active.sent.clone().filter(|_| active.step == step) else {
            return;
        };
        let (caller, attempt, had_begun) = (active.caller, active.attempt, active.has_begun);
        if !self.engines.processes[number].is_alive || self.chance(0.05) {
            self.handle_failed_send(vm, key, step);
            return;
        }
        if self.chance(0.12) {
            self.vms[vm].active.remove(&key);
            self.break_connection(caller, attempt);
            return;
        }
        let active = self.vms[vm].active.get_mut(&key).expect("active");
        active.has_begun = true;
        active.sends = 0;
        active.tried.clear();
        active.origin.get_or_insert(source);
        if self.callers[caller].attempt == attempt {
            self.deliver(vm, key, writer.clone());
        }
        if !had_begun && !self.vms[vm].is_old && self.vms[vm].record_first_event(self.now_ms, key) {
            let origin = self.vms[vm].active[&key].origin.as_ref();
            let is_known = origin.is_some_and(|origin| origin.version.is_some());
            self.callers[caller].recorded_ms = is_known.then_some(self.now_ms);
            self.work_in(vm, TELL_INTERVAL_MS, Work::Tell);
        }
        match self.callers[caller].is_done {
            true => {
                self.vms[vm].active.remove(&key);
            }
            false => {
                let delay_ms = self.between(100, 900);
                self.work_in(vm, delay_ms, Work::Piece(key, step, writer));
            }
        }
    }

    fn deliver(&mut self, vm: usize, key: u64, writer: Writer) {
        let active = &self.vms[vm].active[&key];
        let number = active.caller;
        let is_only_version = active.stream.id.is_none();
        let is_old = self.vms[vm].is_old;
        let now_ms = self.now_ms;
        let caller = &mut self.callers[number];
        let before = caller.writers.last().cloned();
        let is_first_of_attempt = caller.first.as_ref() != Some(&caller.attempt_id)
            && caller.last_ms < now_ms
            && before.is_some();
        if caller.first.is_none() {
            caller.first = Some(caller.attempt_id.clone());
            self.stats.reach("begun");
        }
        caller.last_ms = now_ms;
        caller.writers.push(writer.clone());
        caller.is_done = caller.writers.len() >= caller.wanted;
        if std::mem::take(&mut caller.is_expected) {
            self.stats.reach("resumed");
        }
        let is_exempt = caller.is_exempt;
        if is_first_of_attempt && is_only_version && !is_old {
            self.stats.reach("went_on_by_only_version");
        }
        if let Some(before) = before.filter(|before| *before != writer && !is_exempt) {
            let trail = self.callers[number].trail.join("; ");
            let text = format!("caller {number} on vm {vm}: {before:?} then {writer:?}: {trail}");
            let promise = match self.callers[number].shares_id {
                true => "order_of_shared_id",
                false => "order",
            };
            self.fail(promise, text);
        }
    }

    /// Ends an attempt whose connection broke, or that was refused. The caller tries again.
    pub fn break_connection(&mut self, number: usize, attempt: u64) {
        let pause_ms = match self.options.is_calm() {
            true => self.between(20, 500),
            false => self.between(20, 2_000),
        };
        let caller = &mut self.callers[number];
        if caller.attempt != attempt || !caller.is_connected {
            return;
        }
        caller.is_connected = false;
        if std::mem::take(&mut caller.is_expected) {
            self.stats.reach("expected_but_broken");
        }
        if caller.attempt < MAX_ATTEMPTS && !caller.is_done {
            self.at(self.now_ms + pause_ms, Event::Attempt(number));
        }
    }

    pub fn check_patience(&mut self, number: usize, attempt: u64) {
        let caller = &self.callers[number];
        if caller.attempt != attempt || !caller.is_connected || caller.is_done {
            return;
        }
        let until_ms = caller.last_ms + PATIENCE_MS;
        if self.now_ms < until_ms {
            self.at(until_ms, Event::Patience(number, attempt));
            return;
        }
        for vm in &mut self.vms {
            let is_own = |active: &Active| active.caller == number && active.attempt == attempt;
            vm.active.retain(|_, active| !is_own(active));
        }
        self.stats.reach("abandoned");
        self.break_connection(number, attempt);
    }

    pub fn receive(&mut self, vm: usize, message: Message) {
        let now_ms = self.now_ms;
        match message {
            Message::Told(origins) => {
                for stated in origins {
                    self.vms[vm].record(now_ms, stated);
                }
            }
            Message::Query(asker, query) => {
                let evidence = self.vms[vm].evidence(now_ms, query.stream, &query.services);
                let answer = OriginAnswer {
                    from: self.vms[vm].name.clone(),
                    stream: query.stream,
                    evidence,
                };
                let to = self.vms[asker].name.clone();
                self.send_datagram(vm, &to, Message::Answer(answer));
            }
            Message::Answer(answer) => {
                let Some(waiting) = self.vms[vm].waiting.remove(&answer.stream) else {
                    return;
                };
                for key in waiting {
                    let active = self.vms[vm].active.get_mut(&key);
                    if let Some(search) = active.and_then(|it| it.stream.search.as_mut()) {
                        search.record_answer(&answer.from, answer.evidence.clone());
                        self.dispatch(vm, key);
                    }
                }
            }
        }
    }
}
