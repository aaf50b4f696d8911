//! Stand-in of the platform's store: the log calls that the system uses.

use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, write_response};

/// Time of an answer, `append_ms` of the settings.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Bytes a second of all reads, `read_mb_per_s` of the settings.
const READ_RATE: f64 = 80e6;
/// Largest read if the caller names none, in KiB.
const DEFAULT_KILOBYTES: usize = 1024;
/// Largest page of `/log-newest`, in bytes.
const PAGE_BYTES: usize = 1 << 20;

#[derive(Debug, Clone)]
struct Record {
    key: String,
    value: Vec<u8>,
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Vec<Record>>>,
    written: Condvar,
    /// The machines of the system get 503; the operator and the engines are served.
    rejects: AtomicBool,
    /// Rises by one each time the open channels go silent.
    silences: AtomicU64,
}

impl Store {
    /// Starts a store and returns its address for machines that it may reject.
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store::default());
        let addr = store.listen(true);
        (store, addr)
    }

    /// Its address for machines that it never rejects.
    pub fn steady_addr(self: &Arc<Self>) -> SocketAddr {
        self.listen(false)
    }

    fn listen(self: &Arc<Self>, may_reject: bool) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let served = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream, may_reject));
            }
        });
        addr
    }

    pub fn set_rejecting(&self, rejects: bool) {
        self.rejects.store(rejects, Ordering::SeqCst);
    }

    /// Lets all open channels go silent for good; new ones work.
    pub fn silence_channels(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Writes a record as the operator or an engine; returns when it is acknowledged.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> Instant {
        thread::sleep(ANSWER_TIME);
        self.append(
            topic,
            Record {
                key: key.to_owned(),
                value: value.as_bytes().to_vec(),
            },
        );
        Instant::now()
    }

    fn append(&self, topic: &str, record: Record) -> usize {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push(record);
        let end = records.len();
        self.written.notify_all();
        end
    }

    fn serve(&self, stream: TcpStream, may_reject: bool) {
        stream.set_nodelay(true).unwrap();
        let opened = self.silences.load(Ordering::SeqCst);
        let mut out = stream.try_clone().unwrap();
        let mut input = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut input) {
            self.pass(opened);
            let (status, body) = self.answer(&request, may_reject);
            self.pass(opened);
            let headers = [("Store-Era", "0".to_owned())];
            if write_response(&mut out, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    /// Returns unless the channels that were open then have gone silent: nothing passes, and
    /// they stay open.
    fn pass(&self, opened: u64) {
        while self.silences.load(Ordering::SeqCst) > opened {
            thread::park();
        }
    }

    fn answer(&self, request: &Request, may_reject: bool) -> (u16, Vec<u8>) {
        thread::sleep(ANSWER_TIME);
        let rejects = || may_reject && self.rejects.load(Ordering::SeqCst);
        if rejects() {
            return (503, Vec::new());
        }
        let topic = request.query("topic").unwrap_or_default();
        let number = |name, default| {
            request
                .query(name)
                .and_then(|v| v.parse().ok())
                .unwrap_or(default)
        };
        match request.path() {
            "/log-read" => {
                let wait = Duration::from_millis(number("wait_ms", 0) as u64);
                let kilobytes = number("max_kilobytes", DEFAULT_KILOBYTES);
                let read = self.read(topic, number("from", 0), wait, kilobytes, rejects);
                read.unwrap_or((503, Vec::new()))
            }
            "/log-newest" => self.newest(topic, request.query("after")),
            "/log-append" => {
                let len = usize::from(request.body[4]);
                let key = String::from_utf8_lossy(&request.body[5..5 + len]).into_owned();
                let end = self.append(
                    topic,
                    Record {
                        key,
                        value: request.body[5 + len..].to_vec(),
                    },
                );
                (
                    200,
                    format!("{{\"offset\":{},\"end\":{end}}}", end - 1).into_bytes(),
                )
            }
            _ => (404, Vec::new()),
        }
    }

    /// Returns the records from an offset on, as many as fit in `kilobytes`; `None` once the
    /// machine is rejected.
    fn read(
        &self,
        topic: &str,
        from: usize,
        wait: Duration,
        kilobytes: usize,
        rejects: impl Fn() -> bool,
    ) -> Option<(u16, Vec<u8>)> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            if from > records.len() {
                return Some((410, b"{\"first\":0}".to_vec()));
            }
            let left = until.saturating_duration_since(Instant::now());
            if rejects() {
                return None;
            }
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                let mut bytes = 0;
                for record in &records[from..] {
                    let len = 1 + record.key.len() + record.value.len();
                    if bytes > 0 && bytes + 4 + len > kilobytes << 10 {
                        break;
                    }
                    bytes += 4 + len;
                    body.extend(u32::try_from(len).unwrap().to_be_bytes());
                    body.push(u8::try_from(record.key.len()).unwrap());
                    body.extend(record.key.as_bytes());
                    body.extend(&record.value);
                }
                drop(topics);
                thread::sleep(Duration::from_secs_f64(body.len() as f64 / READ_RATE));
                return Some((200, body));
            }
            let wait = left.min(Duration::from_millis(50));
            topics = self.written.wait_timeout(topics, wait).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> (u16, Vec<u8>) {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: HashMap<&str, usize> = HashMap::new();
        for (offset, record) in records.iter().enumerate() {
            newest.insert(&record.key, offset);
        }
        let mut keys: Vec<(&str, usize)> = newest.into_iter().collect();
        keys.retain(|(k, o)| !records[*o].value.is_empty() && after.is_none_or(|a| *k > a));
        keys.sort_unstable();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, offset) in keys {
            let value = base64(&records[offset].value);
            if items.len() == 500 || bytes > 0 && bytes + value.len() > PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += value.len();
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let (items, end) = (items.join(","), records.len());
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":{has_more},\"end\":{end}}}").into_bytes(),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for group in bytes.chunks(3) {
        let number =
            group.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - group.len()));
        for i in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
