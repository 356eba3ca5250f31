//! Lease on giving orders to engines.
//!
//! The lease is a topic of the platform's store. A VM takes or renews the lease by appending a
//! record on the condition that the topic ends where the VM last saw its end, so if several VMs try
//! at the same end, one succeeds. The position of the record with which a VM took the lease is the
//! fencing token of all its orders. The era of the store forms its upper bits, because offsets go
//! back when the store is restored from an older copy.
//!
//! Failures, and how they are handled:
//!
//! - The holder is frozen or cut off, and still assumes that it holds the lease. Its lease expires
//!   one duration after it *sent* the last acknowledged renewal, by a clock that advances while the
//!   VM is suspended. Other VMs take over no sooner than one duration after they *saw* the end of
//!   the topic that this renewal made, which is later.
//! - The store is unreachable for all VMs. Nobody can renew or take over the lease, and without
//!   orders, requests for models that are not resident would wait until the outage ends. Where
//!   engines check fencing tokens, the holder therefore keeps sending orders for a limited time
//!   while its renewals fail, unless an answer shows that another VM has taken the lease. A VM that
//!   was frozen must see a renewal fail first.
//! - The answer to an append is lost. The VM then doesn't know the outcome and reads the topic: a
//!   record with the number of its own process shows that the append was done.
//! - An order of the new holder overtakes one of the previous holder that is still in flight. The
//!   new holder pauses before its first order, counted from the last moment at which the previous
//!   holder could have given one. That moment follows from when the previous holder's last record
//!   was seen, so a VM that could not take over during an outage of the store need not pause again
//!   after it.
//! - The store is restored from an older copy, in a new era. Acknowledged takeovers, renewals and
//!   releases may be lost, and the topic may happen to end where a VM last saw its end. An append
//!   therefore counts only if it was answered in the era in which its condition was made, and a
//!   record written in an earlier era shows only that an unknown VM may hold the lease. That
//!   holder's last renewal was acknowledged before the new era began, so its lease expires at most
//!   one duration after any VM has learned of the era, unless it renews the lease there.
//! - All VMs lose power at the same time. The VM that held the lease finds its own record after its
//!   restart. No other VM can have given an order since, so it resumes without the pause, provided
//!   that its record says that its own initial pause had ended.

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Position;

use crate::lease_calls::LeaseAction;
use crate::lease_calls::LeaseAnswer;
use crate::lease_calls::LeaseOptions;
use crate::lease_calls::LeaseRecord;

/// Number of low bits of a fencing token that hold the offset; the era is above them. This leaves
/// 8,000 eras within the integers that JSON readers represent exactly.
const TOKEN_OFFSET_BITS: u32 = 40;

/// Number of records before the known end of the topic from which it is read in a new era. A copy
/// that is a minute old lacks no more.
const ROLLBACK_REREAD_RECORDS: u64 = 100;

/// Writer and meaning of the newest record, as far as this VM knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewestRecord {
    /// Record of another process, which holds the lease until the lease has expired.
    OtherIncarnation,
    /// Record that releases the lease.
    Released {
        /// Time between the holder's last order and the release.
        quiet_ms: u64,
    },
    /// Record of this process whose append was not acknowledged.
    OwnIncarnation,
    /// Record of an earlier process of this VM. That process has ended, since this one runs.
    EarlierIncarnation {
        /// Whether the initial pause of that process had ended.
        settled: bool,
    },
}

/// Period from taking the lease to losing it to another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Term {
    fence: u64,
    orders_from_ms: u64,
}

/// Lease on giving orders, as seen by one VM.
#[derive(Debug)]
pub struct Lease {
    options: LeaseOptions,
    vm: VmName,
    incarnation: u64,
    /// Rank of this VM in the order of takeover; rank 0 tries first.
    takeover_rank: u64,
    /// End of the topic as last seen, and the time at which it was first seen to end there.
    end: Option<(Position, u64)>,
    /// Latest known era of the store.
    era: Option<u64>,
    /// Era in which the last renewal was acknowledged.
    renewed_in: u64,
    newest: NewestRecord,
    /// Term of this VM. It outlives an expired lease as long as nobody else has taken the lease:
    /// the VM may then renew the lease under the same fencing token.
    term: Option<Term>,
    /// Time at which the lease expires unless it is renewed.
    valid_until_ms: u64,
    /// Time at which a renewal last failed because the store was unreachable.
    store_unreachable_ms: Option<u64>,
    call_sent_ms: Option<u64>,
    /// Whether the call in progress releases the lease. Its success must not make this VM the
    /// holder.
    releasing: bool,
    /// Time at which this VM last gave an order.
    last_order_ms: u64,
    next_call_ms: u64,
    must_read: bool,
    /// Offset of the next read, if not the newest known record.
    next_read_offset: Option<u64>,
    /// Offset of the last read.
    last_read_offset: u64,
    /// Era of the position that the call in progress names.
    call_era: Option<u64>,
}

impl Lease {
    /// Returns the lease of a VM that has just started and knows nothing of the topic.
    pub fn new(options: LeaseOptions, vm: VmName, incarnation: u64) -> Self {
        Self {
            options,
            vm,
            incarnation,
            takeover_rank: 0,
            end: None,
            era: None,
            renewed_in: 0,
            newest: NewestRecord::OtherIncarnation,
            term: None,
            valid_until_ms: 0,
            store_unreachable_ms: None,
            call_sent_ms: None,
            releasing: false,
            last_order_ms: 0,
            next_call_ms: 0,
            must_read: true,
            next_read_offset: None,
            last_read_offset: 0,
            call_era: None,
        }
    }

    /// Sets this VM's rank in the order of takeover.
    pub fn set_takeover_rank(&mut self, takeover_rank: u64) {
        self.takeover_rank = takeover_rank;
    }

    /// Returns the fencing token under which this VM may give orders now; none if it may not.
    pub fn fence(&self, now_ms: u64) -> Option<u64> {
        let term = self.term.filter(|term| now_ms >= term.orders_from_ms)?;
        self.is_held(now_ms).then_some(term.fence)
    }

    /// Returns whether this VM holds the lease now. It may still have to pause before it gives
    /// orders.
    pub fn is_held(&self, now_ms: u64) -> bool {
        self.term.is_some() && (now_ms < self.valid_until_ms || self.is_in_grace_period(now_ms))
    }

    /// Returns whether the lease has not been renewed because the store is unreachable, and orders
    /// may still be given.
    fn is_in_grace_period(&self, now_ms: u64) -> bool {
        let fresh_ms = self.options.renewal_interval_ms + self.options.call_timeout_ms;
        let is_fresh = self
            .store_unreachable_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= fresh_ms);
        is_fresh && now_ms < self.valid_until_ms + self.options.outage_grace_ms
    }

    /// Returns the end of the topic as last seen, to announce to other VMs.
    pub fn end(&self) -> Option<Position> {
        self.end.map(|(end, _)| end)
    }

    /// Records that this VM gives an order.
    pub fn note_order(&mut self, now_ms: u64) {
        self.last_order_ms = now_ms;
    }

    /// Handles the era of the store, from any answer of the store or from another VM.
    pub fn note_era(&mut self, now_ms: u64, era: u64) {
        let known = self.era;
        self.era = known.max(Some(era));
        if known.is_none_or(|known| era <= known) {
            return;
        }
        self.must_read = true;
        self.next_read_offset = self
            .end
            .map(|(end, _)| end.offset.saturating_sub(ROLLBACK_REREAD_RECORDS));
        self.next_call_ms = match self.is_held(now_ms) {
            true => now_ms,
            // The holder announces the new end soon; only the lowest ranks read before that.
            false => now_ms + self.takeover_rank * self.options.stagger_ms,
        };
    }

    /// Handles the end of the topic as announced by another VM. The records before that end had
    /// reached the store when the announcement was sent. `released` is the time between the last
    /// order and the release, if the newest record releases the lease.
    pub fn note_end(&mut self, now_ms: u64, end: Position, released: Option<u64>) {
        if self.is_earlier(end.era) {
            return;
        }
        self.note_era(now_ms, end.era);
        if self.end.is_none_or(|(known, _)| end > known) {
            self.end = Some((end, now_ms));
            self.newest = match released {
                Some(quiet_ms) => NewestRecord::Released { quiet_ms },
                None => NewestRecord::OtherIncarnation,
            };
            self.must_read = false;
            self.next_read_offset = None;
            self.end_term();
        }
    }

    /// Handles an engine's report of a higher fencing token: another VM has taken the lease, and
    /// this VM, cut off from the store, has not learned of it there.
    pub fn record_superseded(&mut self, now_ms: u64) {
        self.end_term();
        self.must_read = true;
        self.next_call_ms = now_ms;
    }

    /// Returns when to call [`Lease::act`] next.
    pub fn next_ms(&self) -> u64 {
        match self.end {
            _ if self.call_sent_ms.is_some() => u64::MAX,
            Some((end, seen_ms)) if !self.must_read && Self::is_unused(end) => {
                (seen_ms + self.takeover_rank * self.options.stagger_ms).max(self.next_call_ms)
            }
            Some((_, seen_ms)) if !self.must_read && self.term.is_none() => {
                self.takeover_ms(seen_ms).max(self.next_call_ms)
            }
            _ => self.next_call_ms,
        }
    }

    /// Returns the call to make now, if any. Its result must be passed to [`Lease::answered`].
    pub fn act(&mut self, now_ms: u64) -> Option<LeaseAction> {
        if now_ms < self.next_ms() {
            return None;
        }
        self.call_sent_ms = Some(now_ms);
        let last = self.end.map_or(0, |(end, _)| end.offset.saturating_sub(1));
        let from = self.next_read_offset.unwrap_or(last);
        let action = match self.end {
            Some((end, _)) if !self.must_read => self.append(now_ms, end, false),
            _ => {
                self.next_read_offset = None;
                self.last_read_offset = from;
                self.call_era = self.era;
                LeaseAction::Read { from }
            }
        };
        Some(action)
    }

    /// Returns the call that releases the lease, if this VM holds it and no call is in progress.
    pub fn release(&mut self, now_ms: u64) -> Option<LeaseAction> {
        let (end, _) = self
            .end
            .filter(|_| self.is_held(now_ms) && self.call_sent_ms.is_none())?;
        self.end_term();
        self.releasing = true;
        self.call_sent_ms = Some(now_ms);
        Some(self.append(now_ms, end, true))
    }

    fn append(&mut self, now_ms: u64, at: Position, released: bool) -> LeaseAction {
        self.call_era = Some(at.era);
        LeaseAction::Append {
            at,
            record: self.record(now_ms, at.era, released),
        }
    }

    /// Handles the result of a call. If the call released the lease, returns what to announce to
    /// the other VMs: the end of the topic, and the time between this VM's last order and the
    /// release.
    pub fn answered(&mut self, now_ms: u64, answer: LeaseAnswer) -> Option<(Position, u64)> {
        // The effect of a call in an earlier era may have been lost by now.
        let answer = match answer.era() {
            Some(era) if self.is_earlier(era) => LeaseAnswer::Unknown,
            _ => answer,
        };
        let sent_ms = self.call_sent_ms.take().unwrap_or(now_ms);
        let releasing = std::mem::take(&mut self.releasing);
        self.next_call_ms = now_ms + self.options.renewal_interval_ms / 2;
        let is_later_era = answer.era() > self.call_era && self.call_era.is_some();
        if let Some(era) = answer.era() {
            self.note_era(now_ms, era);
        }
        match answer {
            // The topic happens to end where it had ended in an earlier era.
            LeaseAnswer::Appended { at } if is_later_era => {
                self.schedule_read(now_ms, at.offset);
            }
            // Handled as a renewal, it would make this VM the holder again. The VM would then
            // keep announcing the lease, and the others would wait for it to expire.
            LeaseAnswer::Appended { at } if releasing => {
                let quiet_ms = sent_ms.saturating_sub(self.last_order_ms);
                self.end = Some((at.after(1), now_ms));
                self.newest = NewestRecord::Released { quiet_ms };
                return Some((at.after(1), quiet_ms));
            }
            LeaseAnswer::Appended { at } => self.handle_appended(now_ms, sent_ms, at),
            // The offset of the read was one of an earlier era.
            LeaseAnswer::Read { end, newest: None } if is_later_era && end.offset > 0 => {
                self.schedule_read(now_ms, end.offset - 1);
            }
            LeaseAnswer::Read { end, newest } => self.handle_read(now_ms, end, newest),
            // The first kept record need not be the newest, so its position is not the end. An
            // append there would be rejected for as long as later records are kept.
            LeaseAnswer::Expired { first } => {
                self.must_read = true;
                self.next_read_offset = Some(first.offset);
                if first.offset > self.last_read_offset || first.era > self.renewed_in {
                    self.next_call_ms = now_ms;
                } else {
                    // The topic ends before the end that this VM knows.
                    self.end = None;
                    self.end_term();
                }
            }
            LeaseAnswer::EndedElsewhere { end } => {
                self.schedule_read(now_ms, end.offset.saturating_sub(1));
            }
            LeaseAnswer::NotDone => self.store_unreachable_ms = Some(now_ms),
            LeaseAnswer::Unknown => {
                self.store_unreachable_ms = Some(now_ms);
                self.must_read = true;
            }
        }
        None
    }

    fn schedule_read(&mut self, now_ms: u64, from: u64) {
        self.must_read = true;
        self.next_read_offset = Some(from);
        self.next_call_ms = now_ms;
    }

    /// Returns whether a later era than this one is known.
    fn is_earlier(&self, era: u64) -> bool {
        self.era.is_some_and(|known| era < known)
    }

    /// Returns whether a topic that ends here shows that nobody has held the lease yet. In later
    /// eras an empty topic may have lost its records.
    fn is_unused(end: Position) -> bool {
        end == Position::default()
    }

    fn handle_appended(&mut self, now_ms: u64, sent_ms: u64, at: Position) {
        let term = self.term.unwrap_or(Term {
            fence: (at.era << TOKEN_OFFSET_BITS) | (at.offset + 1),
            orders_from_ms: self.orders_from_ms(now_ms, at),
        });
        self.renewed_in = at.era;
        if self.term.is_none() {
            // Orders of another VM may take effect until then. If this VM releases the lease, the
            // next holder must not count time before that as free of orders.
            self.last_order_ms = term.orders_from_ms;
        }
        self.term = Some(term);
        self.valid_until_ms = sent_ms + self.options.duration_ms;
        self.store_unreachable_ms = None;
        self.end = Some((at.after(1), now_ms));
        self.newest = NewestRecord::OwnIncarnation;
        self.next_call_ms = now_ms + self.options.renewal_interval_ms;
    }

    /// Returns when this VM, which has just taken the lease, may give its first order.
    fn orders_from_ms(&self, now_ms: u64, at: Position) -> u64 {
        let pause_ms = match self.newest {
            // The previous holder was an earlier process of this VM, which has ended. Orders of one
            // VM count as those of one holder, so no pause is needed, unless that process was
            // itself still pausing for the orders of another VM.
            NewestRecord::EarlierIncarnation { settled: true } => 0,
            _ => self.options.pause_ms,
        };
        let (_, seen_ms) = self.end.unwrap_or((at, now_ms));
        // Last moment at which the previous holder could have given an order. Its lease began
        // before its last record was seen; a holder that released the lease or has ended gives no
        // more.
        let last_order_ms = match self.newest {
            NewestRecord::OtherIncarnation => {
                seen_ms + self.options.duration_ms + self.options.outage_grace_ms
            }
            NewestRecord::Released { quiet_ms } => seen_ms.saturating_sub(quiet_ms),
            NewestRecord::OwnIncarnation | NewestRecord::EarlierIncarnation { .. } => seen_ms,
        };
        match () {
            // Before the first record of the lease topic there was no holder, so no order can be in
            // flight.
            _ if Self::is_unused(at) || self.options.pause_ms == 0 => now_ms,
            _ => now_ms.max(last_order_ms + pause_ms + self.options.late_order_ms),
        }
    }

    fn handle_read(&mut self, now_ms: u64, end: Position, newest: Option<LeaseRecord>) {
        self.must_read = false;
        let is_earlier = match &newest {
            Some(record) => record.era < end.era,
            None => self.renewed_in < end.era,
        };
        // The writer of a record of an earlier era has not taken the lease from this VM with it. No
        // other VM can have done so since the last renewal, although the store may have lost that
        // renewal.
        let keeps_term = is_earlier && self.term.is_some() && now_ms < self.valid_until_ms;
        self.newest = match &newest {
            _ if keeps_term => NewestRecord::OwnIncarnation,
            _ if is_earlier => NewestRecord::OtherIncarnation,
            Some(record) if record.incarnation == self.incarnation && record.holder == self.vm => {
                NewestRecord::OwnIncarnation
            }
            Some(record) if record.released => NewestRecord::Released {
                quiet_ms: record.quiet_ms,
            },
            Some(record) if record.holder == self.vm => NewestRecord::EarlierIncarnation {
                settled: record.settled,
            },
            _ => NewestRecord::OtherIncarnation,
        };
        if self.end.is_none_or(|(known, _)| end > known) {
            self.end = Some((end, now_ms));
        }
        if self.newest == NewestRecord::OwnIncarnation {
            // The append whose answer was lost was done. Its sending time is no longer known, so
            // the lease is valid only from the next append on.
            self.next_call_ms = now_ms;
        } else if !Self::is_unused(end) {
            self.end_term();
        }
    }

    fn end_term(&mut self) {
        self.term = None;
        self.valid_until_ms = 0;
        self.store_unreachable_ms = None;
    }

    /// Returns when this VM may take the lease over from the writer of the newest record.
    fn takeover_ms(&self, seen_ms: u64) -> u64 {
        let stagger_ms = self.takeover_rank * self.options.stagger_ms;
        match self.newest {
            NewestRecord::OwnIncarnation | NewestRecord::EarlierIncarnation { .. } => seen_ms,
            NewestRecord::Released { .. } => seen_ms + stagger_ms,
            NewestRecord::OtherIncarnation => seen_ms + self.options.duration_ms + stagger_ms,
        }
    }

    fn record(&self, now_ms: u64, era: u64, released: bool) -> LeaseRecord {
        LeaseRecord {
            holder: self.vm.clone(),
            incarnation: self.incarnation,
            era,
            released,
            quiet_ms: match released {
                true => now_ms.saturating_sub(self.last_order_ms),
                false => 0,
            },
            settled: self.term.is_some_and(|term| now_ms >= term.orders_from_ms),
        }
    }
}
