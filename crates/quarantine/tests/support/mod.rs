//! One VM, the only judge, whose engines crash under requests with prompt parts.

#![allow(dead_code)]

use apricotdale_core::names::UpstreamName;
use apricotdale_quarantine::BlockRow;
use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::CrashWatch;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::LostRequest;
use apricotdale_quarantine::Options;
use apricotdale_quarantine::Permit;
use apricotdale_quarantine::RequestFeatures;
use apricotdale_quarantine::Role;

pub const START_MS: u64 = 100_000;

/// Time from which a judge that started at `START_MS` decides.
pub const DECIDES_MS: u64 = START_MS + 2_000;

pub const LEFT_MS: u64 = 5_000;

pub const FIRST: u64 = 0xf1;
pub const BAD: u64 = 0xbad;
pub const COMPANION: u64 = 0xc0;
pub const OTHER: u64 = 0x07;
pub const OWN: u64 = 0x99;

pub const ONLY_JUDGE: Role = Role {
    judge: Some(0),
    judges: 1,
    vms: 1,
    is_lease_holder: true,
};

pub fn request(name: &str, parts: &[u64]) -> RequestFeatures {
    let fingerprint = Fingerprint::of(None, "POST", &["site.example"], name.as_bytes());
    RequestFeatures::new(fingerprint, "service", "m0", parts)
}

/// The only VM, with a clock.
pub struct OneVm {
    pub watch: CrashWatch,
    pub now_ms: u64,
    pub engines: u32,
    /// Parts whose probation ended without an answer.
    pub released: Vec<Fingerprint>,
}

impl OneVm {
    pub fn start() -> Self {
        let mut watch = CrashWatch::new(1, Options::default());
        watch.due(START_MS, ONLY_JUDGE);
        Self {
            watch,
            now_ms: DECIDES_MS,
            engines: 0,
            released: Vec::new(),
        }
    }

    /// Starts the VM again. It reads what it has stored.
    pub fn restart(&mut self) {
        let mut next = Self {
            now_ms: self.now_ms,
            engines: self.engines,
            ..Self::start()
        };
        for row in self.watch.blocks(self.now_ms) {
            next.watch.record_block(self.now_ms, &row);
        }
        for row in self.watch.cases(self.now_ms) {
            next.watch.record_reports(self.now_ms, &row.reports(0));
        }
        *self = next;
        self.run_for(2_000);
    }

    pub fn run_for(&mut self, for_ms: u64) -> Vec<BlockRow> {
        let mut blocks = Vec::new();
        for _ in 0..for_ms / 5 {
            self.now_ms += 5;
            let due = self.watch.due(self.now_ms, ONLY_JUDGE);
            self.released.extend(due.released);
            blocks.extend(due.new_blocks);
        }
        blocks
    }

    pub fn is_blocked(&self, request: &RequestFeatures) -> bool {
        self.watch.block(self.now_ms, request).is_some()
    }

    /// Sends a request as soon as it may be, and returns the number of its trial run.
    pub fn send(&mut self, request: &RequestFeatures) -> Option<u64> {
        let engine = UpstreamName::from(format!("i-{}", self.engines));
        for _ in 0..200 {
            match self.watch.permit(self.now_ms, request, &engine, LEFT_MS) {
                Permit::Free => return None,
                Permit::Trial { number, .. } => return Some(number),
                Permit::Wait => {
                    self.run_for(5);
                }
            }
        }
        panic!("no permit");
    }

    /// Sends a request, of which the engine crashes with some other requests. Returns the blocks
    /// that follow.
    pub fn crash(
        &mut self,
        request: &RequestFeatures,
        beside: &[RequestFeatures],
    ) -> Vec<BlockRow> {
        let trial = self.send(request);
        self.engines += 1;
        let engine = UpstreamName::from(format!("e-{}", self.engines));
        self.now_ms += 60;
        for (features, is_trial) in beside
            .iter()
            .map(|it| (it, false))
            .chain([(request, trial.is_some())])
        {
            let lost = LostRequest {
                features: features.clone(),
                caller: CallerHash::of(b"caller"),
                is_trial,
            };
            self.watch.record_lost(self.now_ms, &engine, true, lost);
        }
        if let Some(number) = trial {
            self.watch.record_trial_end(self.now_ms, number, true);
        }
        self.watch.record_ended(self.now_ms, &engine);
        self.run_for(600)
    }

    pub fn answer(&mut self, request: &RequestFeatures) {
        let trial = self.send(request);
        self.now_ms += 60;
        if let Some(number) = trial {
            self.watch.record_trial_end(self.now_ms, number, false);
        }
        self.watch.record_answered(self.now_ms, request);
        self.run_for(100);
    }

    /// Answers requests with the first part and no suspicious one.
    pub fn answer_others(&mut self) {
        for number in 0..3 {
            self.answer(&request(
                &format!("answered-{number}"),
                &[FIRST, OTHER, OWN],
            ));
        }
    }

    /// Crashes three engines with requests of their own, between which others are answered.
    pub fn block_part(&mut self, parts: &[u64]) -> Vec<BlockRow> {
        let mut blocks = Vec::new();
        for number in 0..3 {
            blocks.extend(self.crash(&request(&format!("bad-{number}"), parts), &[]));
            if blocks.is_empty() {
                self.answer_others();
            }
        }
        blocks
    }
}
