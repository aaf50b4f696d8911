//! A request crashes each engine that begins to run it. An engine that crashes sends nothing
//! for three seconds and is back then, as a new start. The request comes again and again.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client;
use crate::http::{Request, read_request, write_response};
use crate::manifest::manifest;
use crate::process::{Gateway, free_ports};
use crate::record::Record;
use crate::store::Store;

/// `stability_window_ms` of the settings.
const STABILITY: Duration = Duration::from_millis(3000);
/// `heartbeat_interval_ms` of the settings.
const BEAT: Duration = Duration::from_millis(1200);
/// How long an engine is down.
const DOWN: Duration = Duration::from_secs(3);
/// Retries that may reach engines later than that after the third crash.
const RETRIES: usize = 3;
const ENGINES: usize = 4;
/// For how long the requests come, and their pauses.
const TIME: Duration = Duration::from_secs(40);
const POISON_PAUSE: Duration = Duration::from_millis(1000);
const SOUND_PAUSE: Duration = Duration::from_millis(50);
const POISON: &str = "/view/poison";
/// Connections that an engine's socket holds while it runs.
const BACKLOG: i32 = 128;

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
}

struct Engine {
    name: String,
    addr: SocketAddr,
    /// Number of its starts so far.
    starts: AtomicU64,
    down: AtomicBool,
    /// Attempts that it began to run.
    ran: Mutex<Vec<(String, Instant)>>,
    crashes: Mutex<Vec<Instant>>,
}

impl Engine {
    fn start(store: &Arc<Store>, name: String) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Engine {
            name,
            addr: listener.local_addr().unwrap(),
            starts: AtomicU64::new(1),
            down: AtomicBool::new(false),
            ran: Mutex::default(),
            crashes: Mutex::default(),
        });
        let (store, served) = (store.clone(), engine.clone());
        thread::spawn(move || served.run(&listener, &store));
        engine
    }

    /// Accepts channels and reports, through all starts.
    fn run(self: Arc<Self>, listener: &TcpListener, store: &Arc<Store>) {
        listener.set_nonblocking(true).unwrap();
        let mut born = unix_ms();
        let (mut reported, mut sequence) = (Instant::now(), 0_u64);
        store.put("keyed.servers", &self.id(), &self.entry(born, sequence));
        loop {
            if self.down.load(Ordering::SeqCst) {
                let (old, last) = (self.id(), reported);
                close_to_new(listener);
                let fillers: Vec<_> = (0..3).map(|_| fill(self.addr)).collect();
                thread::sleep(DOWN);
                drop(fillers);
                self.starts.fetch_add(1, Ordering::SeqCst);
                self.down.store(false, Ordering::SeqCst);
                while listener.accept().is_ok() {}
                // SAFETY: the descriptor is open, and the call takes one integer.
                unsafe { listen(listener.as_raw_fd(), BACKLOG) };
                (born, sequence) = (unix_ms(), 0);
                let store = store.clone();
                thread::spawn(move || {
                    // The entry of the old start goes after three intervals of silence.
                    thread::sleep((last + BEAT * 3).saturating_duration_since(Instant::now()));
                    store.put("keyed.servers", &old, "");
                });
            }
            while let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(false).unwrap();
                let engine = self.clone();
                let start = self.starts.load(Ordering::SeqCst);
                thread::spawn(move || engine.serve(stream, start));
            }
            if sequence == 0 || reported.elapsed() >= BEAT {
                sequence += 1;
                reported = Instant::now();
                store.put("keyed.servers", &self.id(), &self.entry(born, sequence));
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn id(&self) -> String {
        format!("{}-{}", self.name, self.starts.load(Ordering::SeqCst))
    }

    fn entry(&self, born: u128, sequence: u64) -> String {
        format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"a-1\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}",
            self.addr
        )
    }

    /// Waits for ever if the start that this is about has crashed: it sends nothing.
    fn pass(&self, start: u64) {
        while self.down.load(Ordering::SeqCst) || self.starts.load(Ordering::SeqCst) != start {
            thread::park();
        }
    }

    fn serve(&self, stream: TcpStream, start: u64) {
        stream.set_nodelay(true).unwrap();
        let mut out = stream.try_clone().unwrap();
        let mut input = std::io::BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut input) {
            self.pass(start);
            if self.answer(&request, &mut out, start).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, out: &mut TcpStream, start: u64) -> std::io::Result<()> {
        let id = self.id();
        let expected = request.header("x-turmerichold-expect-instance");
        if expected.is_some_and(|e| e != id) {
            return write_response(out, 421, &[("X-Turmerichold-Instance-Id", id)], b"");
        }
        let attempt = request
            .header("x-turmerichold-attempt-id")
            .unwrap_or_default()
            .to_owned();
        self.ran
            .lock()
            .unwrap()
            .push((attempt.clone(), Instant::now()));
        if request.path() == POISON && !crate::is_calm() {
            self.crashes.lock().unwrap().push(Instant::now());
            self.down.store(true, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(20));
        self.pass(start);
        let headers = [
            ("X-Turmerichold-Attempt-Id", attempt.clone()),
            ("X-Turmerichold-Response-Seal", format!("seal.{attempt}")),
        ];
        write_response(out, 200, &headers, format!("body of {attempt}").as_bytes())
    }
}

/// Lets the socket take no further connection: the opening packets of new ones are dropped
/// once the queue is full.
fn close_to_new(listener: &TcpListener) {
    // SAFETY: the descriptor is open, and the call takes one integer.
    if unsafe { listen(listener.as_raw_fd(), 0) } != 0 {
        crate::cannot_run("the queue of a socket cannot be set");
    }
}

/// Takes a place in the queue of a socket.
fn fill(addr: SocketAddr) -> Option<TcpStream> {
    TcpStream::connect_timeout(&addr, Duration::from_millis(20)).ok()
}

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

pub fn play(dir: &Path, temp: &Path) -> bool {
    let mut record = Record::new(dir);
    let (store, store_addr) = Store::start();
    store.put("keyed.op", "config", &manifest(1, 0, "\"key\""));
    let engines: Vec<_> = (1..=ENGINES)
        .map(|n| Engine::start(&store, format!("i-{n}")))
        .collect();
    let ip = "127.0.0.1";
    let mut gateway = Gateway::start_at(temp, ip, free_ports(&[ip]), store_addr);
    let addr = gateway.frontend;
    thread::sleep(Duration::from_secs(3));

    let begin = Instant::now();
    let send = move |path: &'static str, name: &'static str, pause: Duration| {
        thread::spawn(move || {
            let mut tasks = Vec::new();
            for n in 0.. {
                let at = begin + pause * n;
                if at > begin + TIME {
                    break;
                }
                thread::sleep(at.saturating_duration_since(Instant::now()));
                tasks.push(thread::spawn(move || {
                    client::get(addr, path, &format!("{name}-{n}"), "key")
                }));
            }
            tasks
                .into_iter()
                .map(|t| t.join().unwrap())
                .collect::<Vec<_>>()
        })
    };
    let (sound, poison) = (
        send("/view/x", "sound", SOUND_PAUSE),
        send(POISON, "poison", POISON_PAUSE),
    );
    let (sound, poison) = (sound.join().unwrap(), poison.join().unwrap());

    let mut crashes: Vec<Instant> = engines
        .iter()
        .flat_map(|e| e.crashes.lock().unwrap().clone())
        .collect();
    crashes.sort();
    let mut reached: Vec<(String, Instant)> = engines
        .iter()
        .flat_map(|e| e.ran.lock().unwrap().clone())
        .collect();
    reached.retain(|(attempt, _)| attempt.starts_with("poison"));
    reached.sort_by_key(|(_, at)| *at);
    let third = crashes.get(2).copied();
    let is_late = |at: Instant| third.is_some_and(|third| at > third + STABILITY);
    for at in &crashes {
        record.line(*at, "an engine crashes");
    }
    for (attempt, at) in &reached {
        let mark = if is_late(*at) { " LATE" } else { "" };
        record.line(*at, &format!("{attempt} reaches an engine{mark}"));
    }
    for request in sound.iter().chain(&poison) {
        let status = request
            .status
            .map_or("no answer".to_owned(), |s| format!("answer {s}"));
        record.line(request.at, &format!("{} {status}", request.attempt));
    }
    let late = reached.iter().filter(|(_, at)| is_late(*at)).count();
    let served = sound.iter().filter(|s| s.status == Some(200)).count();
    record.say(&format!(
        "sound requests: {}, served: {served}",
        sound.len()
    ));
    record.say(&format!("the gateway still runs: {}", gateway.runs()));
    record.say(&format!("crashes: {}", crashes.len()));
    record.say(&format!(
        "times that the request reached an engine over {} ms after the third crash: {late}",
        STABILITY.as_millis()
    ));
    if served == 0 {
        crate::cannot_run("no request was served");
    }
    late > RETRIES
}
