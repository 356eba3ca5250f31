//! Model engine that does not check fencing tokens.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::names::name;
use crate::record::Record;
use crate::upstream::Answers;
use crate::upstream::Arrived;

/// Time of a load of a model, as the configuration states it, while no more than `FULL_SPEED` are on
/// their way from the weight store to all engines. Beyond, it is longer in proportion.
const LOAD: Duration = Duration::from_millis(400);
const FULL_SPEED: u32 = 4;

/// Time of a load of a model from the engine's disk, as the configuration states it.
const DISK_LOAD: Duration = Duration::from_millis(60);

/// Time of a load of an adapter.
const ADAPTER_LOAD: Duration = Duration::from_millis(9);

/// Ends of the loads that are on their way to all engines.
static ON_THEIR_WAY: Mutex<Vec<Instant>> = Mutex::new(Vec::new());

/// Begins a load of a model and returns its end.
fn begin_load() -> Instant {
    let now = Instant::now();
    let mut ends = ON_THEIR_WAY.lock().expect("no holder panics");
    ends.retain(|end| *end > now);
    let count = u32::try_from(ends.len() + 1).unwrap_or(u32::MAX);
    let end = now + LOAD * count.max(FULL_SPEED) / FULL_SPEED;
    ends.push(end);
    end
}

/// Order as it arrived.
#[derive(Clone)]
pub struct ArrivedOrder {
    /// Time of its arrival.
    pub at: Instant,
    /// Lease holder that gave it.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
}

/// What an engine holds, and the orders that it received.
#[derive(Default)]
pub struct Holdings {
    /// Models with their adapters, those on their way included, and the time from which they serve.
    models: BTreeMap<String, BTreeMap<String, Instant>>,
    /// Whether its disk has the first four models.
    has_disk_copies: bool,
    /// Load in progress and its end.
    loading: Option<(String, Instant)>,
    /// Number of accepted orders.
    accepted: u64,
    /// Orders in the order of their arrival.
    pub orders: Vec<ArrivedOrder>,
}

impl Holdings {
    /// Returns what an engine holds that has one model. Its disk may have the first four.
    pub fn new(model: &str, has_disk_copies: bool) -> Self {
        Self {
            has_disk_copies,
            models: BTreeMap::from([(model.to_owned(), BTreeMap::new())]),
            ..Self::default()
        }
    }

    fn advance(&mut self) {
        let is_done = |loading: &mut (String, Instant)| loading.1 <= Instant::now();
        if let Some((model, _)) = self.loading.take_if(is_done) {
            self.models.insert(model, BTreeMap::new());
        }
    }

    /// Returns the fields with which an engine's entry and its report state what it holds.
    pub fn fields(&mut self) -> String {
        self.advance();
        let now = Instant::now();
        let mut coming = BTreeSet::new();
        let mut models = Vec::new();
        for (model, adapters) in &self.models {
            let mut held = Vec::new();
            for (adapter, from) in adapters {
                match *from <= now {
                    true => held.push(format!("\"{adapter}\"")),
                    false => drop(coming.insert(format!("\"{model}/{adapter}@1\""))),
                }
            }
            models.push(format!(
                "{{\"name\":\"{model}\",\"version\":1,\"adapters\":[{}]}}",
                held.join(",")
            ));
        }
        let coming: Vec<String> = coming.into_iter().collect();
        format!(
            "\"stage\":\"both\",\"models\":[{}],\"coming\":[{}],{}",
            models.join(","),
            coming.join(","),
            name(match self.has_disk_copies {
                true => "copies",
                false => "no_copies",
            })
        )
    }

    /// Returns whether a model, or an adapter after a slash, can serve.
    fn serves(&mut self, wanted: &str) -> bool {
        self.advance();
        let (model, adapter) = match wanted.split_once('/') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (wanted, None),
        };
        let Some(adapters) = self.models.get(model) else {
            return false;
        };
        adapter.is_none_or(|adapter| {
            let from = adapters.get(adapter);
            from.is_some_and(|from| *from <= Instant::now())
        })
    }

    fn take_order(&mut self, text: &str) -> u16 {
        self.advance();
        let (model, adapter) = (field(text, "model"), field(text, "adapter"));
        let expected: Option<u64> = field(text, "precondition").parse().ok();
        self.orders.push(ArrivedOrder {
            at: Instant::now(),
            holder: field(text, "holder"),
            fence: field(text, name("fence")).parse().unwrap_or_default(),
        });
        if self.loading.is_some() || expected.is_some_and(|it| it != self.accepted) {
            return 409;
        }
        let adapters = self.models.get_mut(&model);
        let status = match (field(text, "operation").as_str(), adapters) {
            ("load", Some(_)) if adapter.is_empty() => return 200,
            ("load", None) if adapter.is_empty() => {
                let end = match self.has_disk_copies {
                    true => Instant::now() + DISK_LOAD,
                    false => begin_load(),
                };
                self.loading = Some((model, end));
                202
            }
            ("load", Some(adapters)) if adapters.contains_key(&adapter) => return 200,
            ("load", Some(adapters)) => {
                adapters.insert(adapter, Instant::now() + ADAPTER_LOAD);
                202
            }
            ("unload", Some(_)) if adapter.is_empty() => {
                self.models.remove(&model);
                202
            }
            ("unload", Some(adapters)) => {
                adapters.remove(&adapter);
                200
            }
            _ => return 400,
        };
        self.accepted += 1;
        status
    }
}

/// Engine, of which each case decides how requests run.
pub struct Engine {
    /// Its answers.
    pub answers: Answers,
    /// What it holds.
    pub holdings: Arc<Mutex<Holdings>>,
    /// Record of the case.
    pub record: Arc<Record>,
}

impl Engine {
    /// Answers a call, which is no request of a client. Returns whether it was one.
    pub fn serve_call(&self, arrived: &Arrived, stream: &mut TcpStream) -> io::Result<bool> {
        if self.answers.reject_misdirected(arrived, stream)? {
            return Ok(true);
        }
        let mut holdings = self.holdings.lock().expect("no holder panics");
        let answer = match arrived.target.as_str() {
            target if target == name("report") => {
                let text = format!(
                    "{{{},\"busy\":{},\"sequence\":{},\"waiting\":0,\"running\":0,\"kv_used\":0,\
                     \"kv_total\":100000,\"handles\":0}}",
                    holdings.fields(),
                    holdings.loading.is_some(),
                    holdings.accepted
                );
                self.answers.plain(200, &text)
            }
            target if target == name("order") => {
                let text = String::from_utf8_lossy(&arrived.body).into_owned();
                let status = holdings.take_order(&text);
                self.record.add(&format!(
                    "{}: order of {}, token {}, {} {} {}, precondition {}: {status}",
                    self.answers.instance,
                    field(&text, "holder"),
                    field(&text, name("fence")),
                    field(&text, "operation"),
                    field(&text, "model"),
                    field(&text, "adapter"),
                    field(&text, "precondition")
                ));
                self.answers.plain(status, "{}")
            }
            _ if arrived.is_health_check() => self.answers.plain(200, "{}"),
            _ => return Ok(false),
        };
        drop(holdings);
        stream.write_all(&answer)?;
        Ok(true)
    }

    /// Returns whether the engine holds what a request needs.
    pub fn serves(&self, arrived: &Arrived) -> bool {
        let mut holdings = self.holdings.lock().expect("no holder panics");
        holdings.serves(arrived.header(name("model")))
    }

    /// Returns the whole answer to a stream that ran.
    pub fn stream(&self, arrived: &Arrived) -> Vec<u8> {
        let fields = format!(
            "Content-Type: text/event-stream\r\n{}: 1\r\n",
            name("versions")
        );
        let events: String = (1..=4).map(|id| format!("id: {id}\ndata: x\n\n")).collect();
        self.answers.success(arrived, &fields, &events)
    }
}

impl Engine {
    /// Writes the answer to a stream that runs, event by event. `running` counts it, too.
    pub fn write_stream(
        &self,
        arrived: &Arrived,
        stream: &mut TcpStream,
        running: u32,
        events: u32,
        gap: Duration,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: s.{}\r\n{}: {running},0,{}\r\n{}: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            name("id"),
            arrived.id(),
            name("signature"),
            self.answers.instance,
            name("load"),
            self.answers.slots,
            name("versions")
        );
        stream.write_all(head.as_bytes())?;
        for event in 1..=events {
            thread::sleep(gap);
            let text = format!("id: {event}\ndata: x\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Returns the value of a field of a flat JSON object, without quotes; empty without one.
fn field(text: &str, key: &str) -> String {
    let found = text.split_once(&format!("\"{key}\":"));
    let value = found.map_or("", |(_, value)| value);
    let end = value.find([',', '}']).unwrap_or(value.len());
    value[..end].trim_matches('"').to_owned()
}
