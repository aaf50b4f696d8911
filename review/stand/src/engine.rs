//! Stand-in of a sound engine of a plain service.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, read_request, write_response};
use crate::store::Store;

/// Interval between two writes of an engine's entry, `heartbeat_interval_ms` of the settings.
const BEAT: Duration = Duration::from_millis(1200);
/// Time of a run.
const WORK: Duration = Duration::from_millis(10);

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
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis(),
        });
        let served = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = served.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        let (store, beating) = (store.clone(), engine.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                let entry = beating.entry(sequence);
                store.put("keyed.servers", &beating.id, &entry);
                thread::sleep(BEAT);
            }
        });
        engine
    }

    fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.addr, self.zone, self.born
        )
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut out = stream.try_clone().unwrap();
        let mut input = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut input) {
            if self.answer(&request, &mut out).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, out: &mut TcpStream) -> std::io::Result<()> {
        let id = ("X-Turmerichold-Instance-Id", self.id.clone());
        if request.path() == "/health" {
            return write_response(out, 200, &[id], b"");
        }
        if request.path() == "/report" {
            let report = format!(
                "{{\"stage\":\"combined\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":90000,\
                 \"handles\":0,\"born\":{}}}",
                self.born
            );
            return write_response(out, 200, &[id], report.as_bytes());
        }
        if request
            .header("x-turmerichold-expect-instance")
            .is_some_and(|e| e != self.id)
        {
            return write_response(out, 421, &[id], b"");
        }
        let Some(attempt) = request.header("x-turmerichold-attempt-id") else {
            let not_run = ("X-Turmerichold-Not-Executed", "1".to_owned());
            return write_response(out, 400, &[not_run], b"");
        };
        self.ran.lock().unwrap().push(Ran {
            attempt: attempt.to_owned(),
            at: Instant::now(),
        });
        thread::sleep(WORK);
        let headers = [
            ("X-Turmerichold-Attempt-Id", attempt.to_owned()),
            ("X-Turmerichold-Response-Seal", format!("seal.{attempt}")),
        ];
        write_response(out, 200, &headers, format!("body of {attempt}").as_bytes())
    }
}
