//! Behaviour of the log writer while the reader of the log stalls.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::Ordering;

use apricotdale_telemetry::LineWriter;

#[derive(Clone)]
struct StalledWriter(Arc<Shared>);

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    entered: bool,
    released: bool,
    written: Vec<u8>,
}

impl Write for StalledWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut state = self.0.state.lock().unwrap();
        state.entered = true;
        self.0.changed.notify_all();
        let mut state = self
            .0
            .changed
            .wait_while(state, |state| !state.released)
            .unwrap();
        state.written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that miss their deadline because of the log: if serving threads wrote
/// the lines themselves, each would block at its next line while the reader stalls.
#[test]
fn stalled_reader_drops_lines() {
    let shared = Arc::new(Shared::default());
    let lines = LineWriter::start(Box::new(StalledWriter(Arc::clone(&shared))), 2).unwrap();
    let dropped = lines.dropped();
    lines.write(b"first\n".to_vec());
    let state = shared.state.lock().unwrap();
    drop(
        shared
            .changed
            .wait_while(state, |state| !state.entered)
            .unwrap(),
    );

    for line in ["second\n", "third\n", "fourth\n", "fifth\n"] {
        lines.write(line.as_bytes().to_vec());
    }
    assert_eq!(dropped.load(Ordering::Relaxed), 2);

    shared.state.lock().unwrap().released = true;
    shared.changed.notify_all();
    while !lines.flush() {}
    let written = shared.state.lock().unwrap().written.clone();
    assert_eq!(written, b"first\nsecond\nthird\n");
}
