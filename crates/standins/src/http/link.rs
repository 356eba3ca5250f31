//! Link with a limited rate that several connections share.

use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

/// Interval between two pieces that are sent over the link.
const PIECE_INTERVAL: Duration = Duration::from_millis(10);

/// Link that carries the answers of all its connections one piece after the other.
#[derive(Debug)]
pub struct SlowLink {
    bytes_per_s: u64,
    free_at: Mutex<Option<Instant>>,
}

impl SlowLink {
    /// Returns an idle link with a rate.
    pub fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s: bytes_per_s.max(1),
            free_at: Mutex::default(),
        }
    }

    /// Sends bytes at the rate of the link. What has not been sent when the client disconnects is
    /// not carried.
    pub(crate) fn send(&self, mut connection: &TcpStream, bytes: &[u8]) -> io::Result<()> {
        let piece_bytes = self.bytes_per_s as usize * PIECE_INTERVAL.as_millis() as usize / 1_000;
        for piece in bytes.chunks(piece_bytes.max(1)) {
            thread::sleep(self.wait_for_turn(piece.len()));
            connection.write_all(piece)?;
        }
        Ok(())
    }

    /// Reserves the link for a piece and returns how long it takes until the piece has arrived.
    fn wait_for_turn(&self, bytes: usize) -> Duration {
        let now = Instant::now();
        let mut free_at = self.free_at.lock();
        let begins_at = free_at.map_or(now, |at| at.max(now));
        let ends_at = begins_at + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s as f64);
        *free_at = Some(ends_at);
        ends_at - now
    }
}
