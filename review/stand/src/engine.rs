//! Stand-in of a sound engine of a plain service.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, read_request, write_response};
use crate::store::Store;

/// Interval between two writes of an engine's entry, `heartbeat_interval_ms` of the settings.
const BEAT: Duration = Duration::from_millis(1200);
/// Time of a run in milliseconds, unless it is set.
const WORK_MS: u64 = 10;

/// A request that an engine began to work on.
#[derive(Debug, Clone)]
pub struct Ran {
    pub attempt: String,
    pub at: Instant,
}

pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    pub service: String,
    pub zone: String,
    pub ran: Mutex<Vec<Ran>>,
    /// Time of a run in milliseconds.
    pub work_ms: AtomicU64,
    /// It has reported that it leaves.
    leaves: AtomicBool,
    /// It has ended.
    ended: AtomicBool,
    sequence: AtomicU64,
    /// Unix time of its start in milliseconds.
    born: u128,
}

impl Engine {
    pub fn start(store: &Arc<Store>, id: &str, service: &str, zone: &str) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Engine {
            id: id.to_owned(),
            addr: listener.local_addr().unwrap(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            ran: Mutex::default(),
            work_ms: AtomicU64::new(WORK_MS),
            leaves: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis(),
        });
        let served = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.has_ended() {
                    return;
                }
                let engine = served.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        let (store, beating) = (store.clone(), engine.clone());
        thread::spawn(move || {
            while !beating.has_ended() {
                beating.report(&store);
                thread::sleep(BEAT);
            }
        });
        engine
    }

    /// Reports that it leaves, and returns when the store has accepted that.
    pub fn leave(&self, store: &Store) -> Instant {
        self.leaves.store(true, Ordering::SeqCst);
        self.report(store)
    }

    /// Ends: its entry goes, its channels close and nothing listens any more.
    pub fn end(&self, store: &Store) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then closes the socket.
        let _ = TcpStream::connect(self.addr);
        store.put("keyed.servers", &self.id, "");
    }

    fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    fn report(&self, store: &Store) -> Instant {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        store.put("keyed.servers", &self.id, &self.entry(sequence))
    }

    fn entry(&self, sequence: u64) -> String {
        let state = match self.leaves.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.addr, self.zone, self.born
        )
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut out = stream.try_clone().unwrap();
        let mut input = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut input) {
            if self.has_ended() || self.answer(&request, &mut out).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, out: &mut TcpStream) -> std::io::Result<()> {
        let id = ("X-Turmerichold-Instance-Id", self.id.clone());
        let leaves = u8::from(self.leaves.load(Ordering::SeqCst)).to_string();
        let leaves = ("Server-Leaving", leaves);
        if request.path() == "/health" {
            return write_response(out, 200, &[id, leaves], b"");
        }
        if request.path() == "/report" {
            let report = format!(
                "{{\"stage\":\"combined\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":90000,\
                 \"handles\":0,\"born\":{}}}",
                self.born
            );
            return write_response(out, 200, &[id, leaves], report.as_bytes());
        }
        if request
            .header("x-turmerichold-expect-instance")
            .is_some_and(|e| e != self.id)
        {
            return write_response(out, 421, &[id, leaves], b"");
        }
        let Some(attempt) = request.header("x-turmerichold-attempt-id") else {
            let not_run = ("X-Turmerichold-Not-Executed", "1".to_owned());
            return write_response(out, 400, &[not_run, leaves], b"");
        };
        self.ran.lock().unwrap().push(Ran {
            attempt: attempt.to_owned(),
            at: Instant::now(),
        });
        thread::sleep(Duration::from_millis(self.work_ms.load(Ordering::SeqCst)));
        if self.has_ended() {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let headers = [
            leaves,
            ("X-Turmerichold-Attempt-Id", attempt.to_owned()),
            ("X-Turmerichold-Response-Seal", format!("seal.{attempt}")),
        ];
        write_response(out, 200, &headers, format!("body of {attempt}").as_bytes())
    }
}
