//! In-memory fake of the platform's log, with faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Condvar;
use parking_lot::Mutex;
use parking_lot::MutexGuard;

use apricotdale_core::Error;
use apricotdale_core::Result;
use apricotdale_core::log::LogBatch;
use apricotdale_core::log::LogClient;
use apricotdale_core::log::LogRecord;
use apricotdale_core::names::StreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Offset;

use super::clock::WorldTime;
use super::log_fault::Append;
use super::log_fault::AppendFault;
use super::log_fault::AppendRule;
use super::log_fault::Faulted;
use super::log_fault::Read;
use super::log_fault::ReadFault;
use super::log_fault::ReadRule;
use super::switch::Switch;

#[derive(Debug, Default)]
struct Stream {
    /// All records, including expired ones.
    records: Vec<LogRecord>,
    first: usize,
}

#[derive(Default)]
struct Inner {
    streams: BTreeMap<StreamName, Stream>,
    append_rules: Vec<AppendRule>,
    read_rules: Vec<ReadRule>,
    is_down: bool,
    attempted_appends: BTreeMap<VmName, usize>,
    attempted_reads: BTreeMap<VmName, usize>,
}

/// In-memory log service.
pub struct FakeLog {
    inner: Mutex<Inner>,
    changed: Condvar,
    time: Arc<WorldTime>,
}

impl FakeLog {
    pub fn new(time: &Arc<WorldTime>) -> Self {
        Self {
            inner: Mutex::default(),
            changed: Condvar::new(),
            time: Arc::clone(time),
        }
    }

    /// Begins or ends an outage, during which appends and reads fail.
    pub fn set_down(&self, is_down: bool) {
        self.inner.lock().is_down = is_down;
        self.changed.notify_all();
    }

    /// Expires the records of a stream before an offset.
    pub fn trim(&self, stream: &str, before: u64) {
        let mut inner = self.inner.lock();
        let stream = inner.streams.entry(stream.into()).or_default();
        assert!(before as usize <= stream.records.len());
        stream.first = stream.first.max(before as usize);
    }

    /// Expires all records of a stream, and returns the offset of the next one.
    pub fn trim_all(&self, stream: &str) -> u64 {
        let end = self.records(stream).len() as u64;
        self.trim(stream, end);
        end
    }

    /// Applies a fault to the next `times` appends that match.
    pub fn fault_appends(
        &self,
        fault: AppendFault,
        times: usize,
        matches: impl Fn(&Append<'_>) -> bool + Send + 'static,
    ) -> Arc<Faulted> {
        let faulted = Arc::new(Faulted::default());
        let rule = AppendRule {
            fault,
            times,
            matches: Box::new(matches),
            faulted: Arc::clone(&faulted),
        };
        self.inner.lock().append_rules.push(rule);
        faulted
    }

    /// Applies a fault to the reads that match, until the test releases it.
    pub fn fault_reads(
        &self,
        fault: ReadFault,
        matches: impl Fn(&Read<'_>) -> bool + Send + 'static,
    ) -> Arc<Faulted> {
        let faulted = Arc::new(Faulted::default());
        let rule = ReadRule {
            fault,
            matches: Box::new(matches),
            faulted: Arc::clone(&faulted),
        };
        self.inner.lock().read_rules.push(rule);
        faulted
    }

    /// Ends all faults.
    pub fn open(&self) {
        let mut inner = self.inner.lock();
        inner.is_down = false;
        for rule in &inner.append_rules {
            drop(rule.faulted.release());
        }
        for rule in &inner.read_rules {
            drop(rule.faulted.release());
        }
        drop(inner);
        self.changed.notify_all();
    }

    /// Appends the records that a fault holds to their streams.
    pub fn release(&self, faulted: &Faulted) {
        let late = faulted.release();
        let mut inner = self.inner.lock();
        for (stream, payload) in late {
            self.push(&mut inner, &stream, &payload);
        }
        drop(inner);
        self.changed.notify_all();
    }

    /// Appends a record that no VM has sent.
    pub fn append_raw(&self, stream: &str, payload: &[u8]) -> Offset {
        self.push(&mut self.inner.lock(), &stream.into(), payload)
    }

    /// Returns all records of a stream, including expired ones.
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        let inner = self.inner.lock();
        let stream = inner.streams.get(&StreamName::new(stream));
        stream.map_or_else(Vec::new, |stream| stream.records.clone())
    }

    /// Returns the number of appends that a VM has attempted, regardless of their outcome.
    pub fn attempted_appends(&self, vm: &VmName) -> usize {
        let inner = self.inner.lock();
        inner.attempted_appends.get(vm).copied().unwrap_or(0)
    }

    /// Returns the number of reads that a VM has attempted, regardless of their outcome.
    pub fn attempted_reads(&self, vm: &VmName) -> usize {
        let inner = self.inner.lock();
        inner.attempted_reads.get(vm).copied().unwrap_or(0)
    }

    /// Returns a client through which one VM reaches the log.
    pub fn client(self: &Arc<Self>, vm: &VmName, switch: &Arc<Switch>) -> LogOfVm {
        LogOfVm {
            log: Arc::clone(self),
            vm: vm.clone(),
            switch: Arc::clone(switch),
        }
    }

    fn push(&self, inner: &mut Inner, stream: &StreamName, payload: &[u8]) -> Offset {
        let records = &mut inner.streams.entry(stream.clone()).or_default().records;
        let offset = Offset(records.len() as u64);
        records.push(LogRecord {
            offset,
            appended_ms: self.time.unix_ms(),
            payload: payload.to_vec(),
        });
        self.changed.notify_all();
        offset
    }

    fn append(&self, by: &LogOfVm, stream: &StreamName, payload: &[u8]) -> Result<Offset> {
        let mut inner = self.inner.lock();
        *inner.attempted_appends.entry(by.vm.clone()).or_default() += 1;
        if inner.is_down {
            return Err(Error::unavailable("the log is down"));
        }
        let append = Append {
            vm: &by.vm,
            stream,
            payload,
        };
        let mut rules = inner.append_rules.iter_mut();
        let Some(rule) = rules.find(|rule| rule.applies(&append)) else {
            return Ok(self.push(&mut inner, stream, payload));
        };
        rule.times -= 1;
        let (fault, faulted) = (rule.fault, Arc::clone(&rule.faulted));
        faulted.hit();
        match fault {
            AppendFault::Refuse => Err(Error::unavailable("refused by the test")),
            AppendFault::LoseRecord => Err(Error::unknown("the record was lost")),
            AppendFault::LoseAnswer => {
                self.push(&mut inner, stream, payload);
                Err(Error::unknown("the answer was lost"))
            }
            AppendFault::Delay => {
                faulted.delay(stream, payload);
                Err(Error::unknown("the record is late"))
            }
            AppendFault::Hold => {
                while !faulted.is_released() {
                    self.changed.wait(&mut inner);
                }
                Ok(self.push(&mut inner, stream, payload))
            }
            AppendFault::Pause => {
                by.switch.pause();
                Ok(self.push(&mut inner, stream, payload))
            }
        }
    }

    fn read(&self, by: &LogOfVm, read: &Read<'_>, from: Offset, wait_ms: u64) -> Result<LogBatch> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut inner = self.inner.lock();
        *inner.attempted_reads.entry(by.vm.clone()).or_default() += 1;
        let fault = inner.read_fault(read);
        match fault {
            Some(ReadFault::Refuse) => return Err(Error::unavailable("refused by the test")),
            Some(ReadFault::PauseBefore) => {
                by.switch.pause();
                MutexGuard::unlocked(&mut inner, || by.switch.pass());
            }
            _ => {}
        }
        loop {
            while inner.holds(read) {
                self.changed.wait(&mut inner);
            }
            let batch = batch(&inner, read, from)?;
            let is_due = !batch.records.is_empty() || Instant::now() >= deadline;
            if !is_due && batch.end >= from {
                self.changed.wait_until(&mut inner, deadline);
                continue;
            }
            if fault == Some(ReadFault::PauseAfter) {
                by.switch.pause();
            }
            return Ok(batch);
        }
    }
}

impl Inner {
    /// Returns the fault that applies to a read.
    fn read_fault(&self, read: &Read<'_>) -> Option<ReadFault> {
        let rule = self.read_rules.iter().find(|rule| rule.applies(read))?;
        rule.faulted.hit();
        if let ReadFault::PauseBefore | ReadFault::PauseAfter = rule.fault {
            drop(rule.faulted.release());
        }
        Some(rule.fault)
    }

    fn holds(&self, read: &Read<'_>) -> bool {
        let mut rules = self.read_rules.iter();
        rules.any(|rule| rule.fault == ReadFault::Hold && rule.applies(read))
    }
}

fn batch(inner: &Inner, read: &Read<'_>, from: Offset) -> Result<LogBatch> {
    if inner.is_down {
        return Err(Error::unavailable("the log is down"));
    }
    let empty = Stream::default();
    let stream = inner.streams.get(read.stream).unwrap_or(&empty);
    let first = Offset(stream.first as u64);
    if from < first {
        return Err(Error::Expired { first });
    }
    let records = stream.records.iter().skip(from.0 as usize);
    Ok(LogBatch {
        records: records.take(read.max_records).cloned().collect(),
        first,
        end: Offset(stream.records.len() as u64),
    })
}

/// Client through which one daemon reaches the log.
pub struct LogOfVm {
    log: Arc<FakeLog>,
    vm: VmName,
    switch: Arc<Switch>,
}

impl LogClient for LogOfVm {
    fn append(&self, stream: &StreamName, payload: &[u8]) -> Result<Offset> {
        self.switch.pass();
        let outcome = self.log.append(self, stream, payload);
        self.switch.pass();
        outcome
    }

    fn read(
        &self,
        stream: &StreamName,
        from: Offset,
        max_records: usize,
        wait_ms: u64,
    ) -> Result<LogBatch> {
        let read = Read {
            vm: &self.vm,
            stream,
            max_records,
        };
        self.switch.pass();
        let batch = self.log.read(self, &read, from, wait_ms);
        self.switch.pass();
        batch
    }
}
