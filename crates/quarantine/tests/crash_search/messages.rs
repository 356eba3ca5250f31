//! Links between VMs, and the messages that they carry.

use apricotdale_quarantine::AnsweredRow;
use apricotdale_quarantine::BlockRow;
use apricotdale_quarantine::CrashReport;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::ProbationRow;
use apricotdale_quarantine::Role;
use apricotdale_quarantine::TrialAnswer;
use apricotdale_quarantine::TrialEnd;
use apricotdale_quarantine::TrialQuery;

use crate::fleet::Fleet;
use crate::policies::Policy;
use crate::policies::incarnation_of;

/// Number of VMs that are judges.
const MAX_JUDGES: usize = 5;

#[derive(Clone, Debug)]
pub enum Message {
    Reports(Vec<CrashReport>),
    Blocks(Vec<BlockRow>),
    Probations(usize, Vec<ProbationRow>),
    Answered(Vec<AnsweredRow>),
    Cleared(Fingerprint),
    ProbationEnded(Fingerprint),
    TrialAsked(usize, TrialQuery),
    TrialDecided(TrialAnswer),
    TrialEnded(usize, TrialEnd),
}

/// Random loss, duplication and delay of datagrams.
pub struct Link {
    pub state: u64,
    pub lost_in_256: u64,
}

impl Link {
    pub fn draw(&mut self) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state >> 16
    }

    /// Returns the delay of each delivered copy of a datagram.
    pub fn delays_ms(&mut self) -> Vec<u64> {
        let draw = self.draw();
        match draw % 256 {
            lost if lost < self.lost_in_256 => Vec::new(),
            250.. => vec![1 + draw / 256 % 40, 1 + draw / 65_536 % 200],
            _ => vec![1 + draw / 256 % 40],
        }
    }
}

impl Fleet {
    pub fn judges(&self) -> usize {
        self.vms.len().min(MAX_JUDGES)
    }

    pub fn handle_messages(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let vms = self.vms.len();
        let vm = &mut self.vms[index];
        let arrived = vm.inbox.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        let mut answers = Vec::new();
        let mut cleared = Vec::new();
        for (_, message) in arrived.collect::<Vec<_>>() {
            let watch = &mut vm.watch;
            match message {
                Message::Reports(reports) => watch.record_reports(now_ms, &reports),
                Message::Blocks(rows) => rows.iter().for_each(|row| {
                    watch.record_block(now_ms, row);
                }),
                Message::Probations(from, rows) => {
                    let answered = watch.record_probations(now_ms, &rows);
                    if !answered.is_empty() {
                        answers.push((from, Message::Answered(answered)));
                    }
                }
                Message::Answered(rows) => {
                    cleared.extend(watch.record_peer_answers(now_ms, &rows).announced);
                }
                Message::Cleared(it) => {
                    watch.record_cleared(now_ms, &it);
                }
                Message::ProbationEnded(it) => watch.record_released(now_ms, &it),
                Message::TrialAsked(from, query) => {
                    let answer = watch.decide_trial(now_ms, incarnation_of(from), &query, vms);
                    answers.push((from, Message::TrialDecided(answer)));
                }
                Message::TrialDecided(answer) => {
                    watch.record_trial_answer(now_ms, &answer);
                }
                Message::TrialEnded(from, end) => {
                    watch.record_peer_trial_end(now_ms, incarnation_of(from), &end)
                }
            }
        }
        for (from, answer) in answers {
            self.send(from, &answer);
        }
        for feature in cleared {
            self.send_all(index, &Message::Cleared(feature));
        }
    }

    pub fn perform_due(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let judges = self.judges();
        let role = Role {
            judge: (index < judges).then_some(index),
            judges,
            vms: self.vms.len(),
            is_lease_holder: index == 0,
        };
        let due = self.vms[index].watch.due(now_ms, role);
        if !due.reports.is_empty() {
            for judge in (0..judges).filter(|judge| *judge != index) {
                self.send(judge, &Message::Reports(due.reports.clone()));
            }
        }
        if !due.blocks.is_empty() {
            self.send_all(index, &Message::Blocks(due.blocks));
        }
        if !due.probations.is_empty() {
            self.send_all(index, &Message::Probations(index, due.probations));
        }
        for part in due.released {
            self.send_all(index, &Message::ProbationEnded(part));
        }
        for query in due.trial_queries {
            if self.policy == Policy::OnePerVm {
                let watch = &mut self.vms[index].watch;
                let answer = watch.decide_trial(now_ms, incarnation_of(index), &query, 1);
                watch.record_trial_answer(now_ms, &answer);
                continue;
            }
            self.send(due.trial_judge, &Message::TrialAsked(index, query));
        }
        for end in due.trial_ends {
            let own = &mut self.vms[index].watch;
            own.record_peer_trial_end(now_ms, incarnation_of(index), &end);
            self.send(due.trial_judge, &Message::TrialEnded(index, end));
        }
    }

    pub fn send(&mut self, to: usize, message: &Message) {
        for delay_ms in self.link.delays_ms() {
            let at_ms = self.now_ms + delay_ms;
            self.vms[to].inbox.push((at_ms, message.clone()));
        }
    }

    pub fn send_all(&mut self, from: usize, message: &Message) {
        for other in (0..self.vms.len()).filter(|other| *other != from) {
            self.send(other, message);
        }
    }
}
