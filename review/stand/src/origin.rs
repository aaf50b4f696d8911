//! Stand-in of the origin of weights: 64 equal pieces of zeros.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{read_request, write_response};

pub const PIECES: usize = 64;
pub const PIECE_BYTES: usize = 32_768;
/// Bytes a second, 9.9 Mbit/s of the site.
const RATE: f64 = 9.9e6 / 8.0;
/// SHA-256 of a piece.
const DIGEST: &str = "c35020473aed1b4642cd726cad727b63fff2824ad68cedd7ffb73c7cbd890479";

pub struct Origin {
    pub addr: SocketAddr,
    /// Lists of digests that were sent.
    pub lists: AtomicUsize,
    crashed: AtomicBool,
    link: Mutex<()>,
}

impl Origin {
    pub fn start() -> Arc<Origin> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let origin = Arc::new(Origin {
            addr: listener.local_addr().unwrap(),
            lists: AtomicUsize::new(0),
            crashed: AtomicBool::new(false),
            link: Mutex::default(),
        });
        origin.clone().accept(listener);
        origin
    }

    /// Crashes for this long: nothing listens at the address meanwhile.
    pub fn crash(self: &Arc<Self>, time: Duration) {
        self.crashed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then closes the socket.
        let _ = TcpStream::connect(self.addr);
        thread::sleep(time);
        self.crashed.store(false, Ordering::SeqCst);
        let listener = TcpListener::bind(self.addr)
            .unwrap_or_else(|e| crate::cannot_run(&format!("the origin does not come back: {e}")));
        self.clone().accept(listener);
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if self.crashed.load(Ordering::SeqCst) {
                    return;
                }
                let origin = self.clone();
                thread::spawn(move || origin.serve(stream));
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().unwrap();
        let mut input = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut input) {
            if self.crashed.load(Ordering::SeqCst) {
                return;
            }
            let body = match request.path().starts_with("/manifest/") {
                true => {
                    self.lists.fetch_add(1, Ordering::SeqCst);
                    let digests = vec![format!("\"{DIGEST}\""); PIECES].join(",");
                    let version = request.query("version").unwrap_or("1");
                    format!("{{\"version\":{version},\"digests\":[{digests}]}}").into_bytes()
                }
                false => {
                    let _link = self.link.lock().unwrap();
                    thread::sleep(Duration::from_secs_f64(PIECE_BYTES as f64 / RATE));
                    vec![0; PIECE_BYTES]
                }
            };
            if self.crashed.load(Ordering::SeqCst)
                || write_response(&mut out, 200, &[], &body).is_err()
            {
                return;
            }
        }
    }
}
