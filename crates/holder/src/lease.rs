//! Which VM gives orders.
//!
//! The lease is a topic of the store. A VM takes or renews the lease by appending a record on the
//! condition that the topic ends where the VM last saw its end, so of several VMs that try at the
//! same end one succeeds. The position of the record with which a VM took the lease is the fencing
//! token of all its orders: its era first, since offsets go back when the store comes back from an
//! older copy.
//!
//! What can go wrong, and what prevents it:
//!
//! - The holder is frozen or cut off and still believes that it holds the lease. Its lease ends, by
//!   a clock that goes on while the VM is suspended, one duration after it *sent* its last renewal
//!   that was acknowledged. Others take over no sooner than one duration after they *saw* the end
//!   of the topic that this renewal made, which is later.
//! - The store is away for everybody. Nobody can renew or take over, and without orders callers of
//!   models that are not resident wait for the whole outage. Where engines check fencing tokens the
//!   holder goes on, for a bounded time, while its renewals fail without an answer that another has
//!   taken the lease; a VM that was frozen has first to see a renewal fail.
//! - The answer to an append is lost. The VM then knows nothing and reads the topic: a record with
//!   its own run number says that the append was done.
//! - The new holder's order overtakes one of the old holder's that is still under way. The new
//!   holder waits for a pause before its first order, counted from the last moment at which the old
//!   one could give an order. That is known by when the old one's last record was seen, so a holder
//!   that could not take over during an outage of the store need not wait once more after it.
//! - The store comes back from an older copy, in a new era. What was acknowledged may be gone: a
//!   takeover, a renewal, a lease given back. A topic may end by chance where a VM last saw it end.
//!   So an append counts only if it was answered in the era in which its condition was made, and a
//!   record that was written before the era says nothing but that somebody unknown may hold the
//!   lease. Whoever does was acknowledged before the new era began, so its lease is over one
//!   duration after any VM has learned of that era; until then it may renew it there.
//! - All VMs lose their power at once. The VM that held the lease finds its own record when it is
//!   back: no other VM can have given an order since, so it goes on without that pause. Its record
//!   says whether its own pause was over by then.

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Position;

use crate::lease_calls::LeaseAction;
use crate::lease_calls::LeaseAnswer;
use crate::lease_calls::LeaseOptions;
use crate::lease_calls::LeaseRecord;

/// Bits of a fencing token that hold the offset; the era stands above them. 8,000 eras fit into the
/// numbers that JSON readers keep exactly.
const TOKEN_OFFSET_BITS: u32 = 40;

/// How far before the end that was known the topic is read in a new era, in records. A copy that is
/// a minute old lacks no more.
const RECORDS_SET_BACK: u64 = 100;

/// Whose the newest record is, as far as this VM knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Newest {
    /// Another run's, which holds the lease until it has run out.
    Others,
    /// One that gives the lease back.
    Released {
        /// How long before the holder had given its last order.
        quiet_ms: u64,
    },
    /// This run's own, whose append was not acknowledged.
    Own,
    /// An earlier run's of this VM. Its process has ended, or this one would not run.
    EarlierRun {
        /// Whether that run's own pause was over.
        settled: bool,
    },
}

/// A term is the time from taking the lease to losing it to another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Term {
    fence: u64,
    orders_from_ms: u64,
}

/// `Lease` decides whether this VM gives orders.
#[derive(Debug)]
pub struct Lease {
    options: LeaseOptions,
    vm: VmName,
    run: u64,
    /// This VM's place in the order of takeover.
    place: u64,
    /// The topic's end as last seen, and when it was first seen to end there.
    end: Option<(Position, u64)>,
    /// The latest era that is known.
    era: Option<u64>,
    /// The era in which the last renewal was acknowledged.
    renewed_in: u64,
    newest: Newest,
    /// The term of this VM. It outlives a lease that ran out while nobody else took it: the VM may
    /// then go on with the same fencing token.
    term: Option<Term>,
    /// Until when the last renewal is good.
    good_until_ms: u64,
    /// When a renewal last failed because the store could not be reached.
    unreached_ms: Option<u64>,
    call_sent_ms: Option<u64>,
    /// Whether the call under way gives the lease back. Its answer makes this VM no holder.
    releasing: bool,
    /// When this VM gave its last order.
    last_order_ms: u64,
    next_call_ms: u64,
    must_read: bool,
    /// Where the next read begins, if not at the newest record that is known.
    read_next: Option<u64>,
    /// Where the last read began.
    read_from: u64,
    /// The era in which the place was seen that the call under way names.
    asked_era: Option<u64>,
}

impl Lease {
    /// Returns the lease as a VM sees it at its start.
    pub fn new(options: LeaseOptions, vm: VmName, run: u64) -> Self {
        Self {
            options,
            vm,
            run,
            place: 0,
            end: None,
            era: None,
            renewed_in: 0,
            newest: Newest::Others,
            term: None,
            good_until_ms: 0,
            unreached_ms: None,
            call_sent_ms: None,
            releasing: false,
            last_order_ms: 0,
            next_call_ms: 0,
            must_read: true,
            read_next: None,
            read_from: 0,
            asked_era: None,
        }
    }

    /// Sets this VM's place among the VMs that would take over.
    pub fn set_place(&mut self, place: u64) {
        self.place = place;
    }

    /// Returns the fencing token under which this VM may give orders now, or none.
    pub fn fence(&self, now_ms: u64) -> Option<u64> {
        let term = self.term.filter(|term| now_ms >= term.orders_from_ms)?;
        self.is_held(now_ms).then_some(term.fence)
    }

    /// Returns whether this VM holds the lease now, though it may not give orders yet.
    pub fn is_held(&self, now_ms: u64) -> bool {
        self.term.is_some() && (now_ms < self.good_until_ms || self.outlasts(now_ms))
    }

    /// Returns whether orders may go on past the lease.
    fn outlasts(&self, now_ms: u64) -> bool {
        let fresh_ms = self.options.renew_every_ms + self.options.call_timeout_ms;
        let is_fresh = self
            .unreached_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= fresh_ms);
        is_fresh && now_ms < self.good_until_ms + self.options.outlast_ms
    }

    /// Returns the end of the topic as last seen, for other VMs.
    pub fn end(&self) -> Option<Position> {
        self.end.map(|(end, _)| end)
    }

    /// Notes that this VM gives an order.
    pub fn note_order(&mut self, now_ms: u64) {
        self.last_order_ms = now_ms;
    }

    /// Takes in the era of the store, as any of its answers or another VM tells it.
    pub fn note_era(&mut self, now_ms: u64, era: u64) {
        let known = self.era;
        self.era = known.max(Some(era));
        if known.is_none_or(|known| era <= known) {
            return;
        }
        self.must_read = true;
        self.read_next = self
            .end
            .map(|(end, _)| end.offset.saturating_sub(RECORDS_SET_BACK));
        self.next_call_ms = match self.is_held(now_ms) {
            true => now_ms,
            // The holder tells the new end soon, and then only the first of the others have read.
            false => now_ms + self.place * self.options.stagger_ms,
        };
    }

    /// Takes in the end of the topic that another VM told of. A record before that end had reached
    /// the store when the other VM sent this. `released` is how long before the last order was
    /// given, if the record gives the lease back.
    pub fn note_end(&mut self, now_ms: u64, end: Position, released: Option<u64>) {
        if self.is_earlier(end.era) {
            return;
        }
        self.note_era(now_ms, end.era);
        if self.end.is_none_or(|(known, _)| end > known) {
            self.end = Some((end, now_ms));
            self.newest = match released {
                Some(quiet_ms) => Newest::Released { quiet_ms },
                None => Newest::Others,
            };
            self.must_read = false;
            self.read_next = None;
            self.lose();
        }
    }

    /// Takes in that an engine has seen a higher fencing token: another VM has taken the lease,
    /// though this one, cut off from the store, did not learn of it there.
    pub fn note_outranked(&mut self, now_ms: u64) {
        self.lose();
        self.must_read = true;
        self.next_call_ms = now_ms;
    }

    /// Returns when the lease next wants to act.
    pub fn next_ms(&self) -> u64 {
        match self.end {
            _ if self.call_sent_ms.is_some() => u64::MAX,
            Some((end, seen_ms)) if !self.must_read && Self::is_unused(end) => {
                (seen_ms + self.place * self.options.stagger_ms).max(self.next_call_ms)
            }
            Some((_, seen_ms)) if !self.must_read && self.term.is_none() => {
                self.takeover_ms(seen_ms).max(self.next_call_ms)
            }
            _ => self.next_call_ms,
        }
    }

    /// Returns the call to make now, if any. Its end must be told to [`Lease::answered`].
    pub fn act(&mut self, now_ms: u64) -> Option<LeaseAction> {
        if now_ms < self.next_ms() {
            return None;
        }
        self.call_sent_ms = Some(now_ms);
        let last = self.end.map_or(0, |(end, _)| end.offset.saturating_sub(1));
        let from = self.read_next.unwrap_or(last);
        let action = match self.end {
            Some((end, _)) if !self.must_read => self.append(now_ms, end, false),
            _ => {
                self.read_next = None;
                self.read_from = from;
                self.asked_era = self.era;
                LeaseAction::Read { from }
            }
        };
        Some(action)
    }

    /// Returns the call that gives the lease back, if this VM holds it and no call is under way.
    pub fn release(&mut self, now_ms: u64) -> Option<LeaseAction> {
        let (end, _) = self
            .end
            .filter(|_| self.is_held(now_ms) && self.call_sent_ms.is_none())?;
        self.lose();
        self.releasing = true;
        self.call_sent_ms = Some(now_ms);
        Some(self.append(now_ms, end, true))
    }

    fn append(&mut self, now_ms: u64, at: Position, released: bool) -> LeaseAction {
        self.asked_era = Some(at.era);
        LeaseAction::Append {
            at,
            record: self.record(now_ms, at.era, released),
        }
    }

    /// Takes in how the call ended. Returns the end of the topic to tell the other VMs with which
    /// the lease was given back, and how long before this VM had given its last order.
    pub fn answered(&mut self, now_ms: u64, answer: LeaseAnswer) -> Option<(Position, u64)> {
        // What was done in an earlier era may be undone by now.
        let answer = match answer.era() {
            Some(era) if self.is_earlier(era) => LeaseAnswer::Unknown,
            _ => answer,
        };
        let sent_ms = self.call_sent_ms.take().unwrap_or(now_ms);
        let releasing = std::mem::take(&mut self.releasing);
        self.next_call_ms = now_ms + self.options.renew_every_ms / 2;
        let is_set_back = answer.era() > self.asked_era && self.asked_era.is_some();
        if let Some(era) = answer.era() {
            self.note_era(now_ms, era);
        }
        match answer {
            // The topic ended by chance where it had ended in an earlier era.
            LeaseAnswer::Appended { at } if is_set_back => {
                self.read_again(now_ms, at.offset);
            }
            // Taken for a renewal, it would make this VM the holder again: it would go on telling
            // the others so, and they would wait for a whole lease.
            LeaseAnswer::Appended { at } if releasing => {
                let quiet_ms = sent_ms.saturating_sub(self.last_order_ms);
                self.end = Some((at.after(1), now_ms));
                self.newest = Newest::Released { quiet_ms };
                return Some((at.after(1), quiet_ms));
            }
            LeaseAnswer::Appended { at } => self.appended(now_ms, sent_ms, at),
            // The place from which it was read was one of an earlier era.
            LeaseAnswer::Read { end, newest: None } if is_set_back && end.offset > 0 => {
                self.read_again(now_ms, end.offset - 1);
            }
            LeaseAnswer::Read { end, newest } => self.read(now_ms, end, newest),
            // The first kept record is not the newest, nor the end: an append there would be refused
            // for as long as later records are kept.
            LeaseAnswer::Expired { first } => {
                self.must_read = true;
                self.read_next = Some(first.offset);
                if first.offset > self.read_from || first.era > self.renewed_in {
                    self.next_call_ms = now_ms;
                } else {
                    // The topic ends before what this VM knows of it.
                    self.end = None;
                    self.lose();
                }
            }
            LeaseAnswer::EndedElsewhere { end } => {
                self.read_again(now_ms, end.offset.saturating_sub(1));
            }
            LeaseAnswer::NotDone => self.unreached_ms = Some(now_ms),
            LeaseAnswer::Unknown => {
                self.unreached_ms = Some(now_ms);
                self.must_read = true;
            }
        }
        None
    }

    fn read_again(&mut self, now_ms: u64, from: u64) {
        self.must_read = true;
        self.read_next = Some(from);
        self.next_call_ms = now_ms;
    }

    /// Returns whether a later era than this one is known.
    fn is_earlier(&self, era: u64) -> bool {
        self.era.is_some_and(|known| era < known)
    }

    /// Returns whether a topic that ends here tells that nobody has held the lease so far. In a
    /// later era its records may be lost.
    fn is_unused(end: Position) -> bool {
        end == Position::default()
    }

    fn appended(&mut self, now_ms: u64, sent_ms: u64, at: Position) {
        let term = self.term.unwrap_or(Term {
            fence: (at.era << TOKEN_OFFSET_BITS) | (at.offset + 1),
            orders_from_ms: self.orders_from_ms(now_ms, at),
        });
        self.renewed_in = at.era;
        if self.term.is_none() {
            // Until then another VM's orders count; the next holder must not take this one's
            // silence for theirs.
            self.last_order_ms = term.orders_from_ms;
        }
        self.term = Some(term);
        self.good_until_ms = sent_ms + self.options.duration_ms;
        self.unreached_ms = None;
        self.end = Some((at.after(1), now_ms));
        self.newest = Newest::Own;
        self.next_call_ms = now_ms + self.options.renew_every_ms;
    }

    /// Returns when this VM, which has just taken the lease, may give its first order.
    fn orders_from_ms(&self, now_ms: u64, at: Position) -> u64 {
        let pause_ms = match self.newest {
            // The holder before was this VM. Its process has ended, and orders of one VM are those
            // of one holder, so there is nobody to take turns with, unless that process itself was
            // still waiting for the last orders of another VM.
            Newest::EarlierRun { settled: true } => 0,
            _ => self.options.pause_ms,
        };
        let (_, seen_ms) = self.end.unwrap_or((at, now_ms));
        // The last moment at which the holder before could give an order: its lease counts from
        // before its last record was seen, and one that gave it back, or has ended, gives no more.
        let last_order_ms = match self.newest {
            Newest::Others => seen_ms + self.options.duration_ms + self.options.outlast_ms,
            Newest::Released { quiet_ms } => seen_ms.saturating_sub(quiet_ms),
            Newest::Own | Newest::EarlierRun { .. } => seen_ms,
        };
        match () {
            // Before the first record nobody has given an order that could still be under way.
            _ if Self::is_unused(at) || self.options.pause_ms == 0 => now_ms,
            _ => now_ms.max(last_order_ms + pause_ms + self.options.late_order_ms),
        }
    }

    fn read(&mut self, now_ms: u64, end: Position, newest: Option<LeaseRecord>) {
        self.must_read = false;
        let is_earlier = match &newest {
            Some(record) => record.era < end.era,
            None => self.renewed_in < end.era,
        };
        // Whoever wrote a record of an earlier era has not taken the lease with it, and no other VM
        // can have done so since the last renewal, though the store may have lost that.
        let is_kept = is_earlier && self.term.is_some() && now_ms < self.good_until_ms;
        self.newest = match &newest {
            _ if is_kept => Newest::Own,
            _ if is_earlier => Newest::Others,
            Some(record) if record.run == self.run && record.holder == self.vm => Newest::Own,
            Some(record) if record.released => Newest::Released {
                quiet_ms: record.quiet_ms,
            },
            Some(record) if record.holder == self.vm => Newest::EarlierRun {
                settled: record.settled,
            },
            _ => Newest::Others,
        };
        if self.end.is_none_or(|(known, _)| end > known) {
            self.end = Some((end, now_ms));
        }
        if self.newest == Newest::Own {
            // The append whose answer was lost was done. When it was sent is no longer known, so
            // the lease is good only from the next one.
            self.next_call_ms = now_ms;
        } else if !Self::is_unused(end) {
            self.lose();
        }
    }

    fn lose(&mut self) {
        self.term = None;
        self.good_until_ms = 0;
        self.unreached_ms = None;
    }

    /// Returns when this VM may take the lease over from another.
    fn takeover_ms(&self, seen_ms: u64) -> u64 {
        let stagger_ms = self.place * self.options.stagger_ms;
        match self.newest {
            Newest::Own | Newest::EarlierRun { .. } => seen_ms,
            Newest::Released { .. } => seen_ms + stagger_ms,
            Newest::Others => seen_ms + self.options.duration_ms + stagger_ms,
        }
    }

    fn record(&self, now_ms: u64, era: u64, released: bool) -> LeaseRecord {
        LeaseRecord {
            holder: self.vm.clone(),
            run: self.run,
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
