//! A sound upstream that notes what it runs.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_lite::AsyncWriteExt;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use transport::spawn;

use crate::stand_in::{header_value, read_request};

/// A request that an upstream ran.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub attempt: String,
}

/// An upstream. It answers 421 to requests for another instance.
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    /// Time that it works on a request.
    pub work: Duration,
    /// Further fields of its answers, each with its line end.
    pub statement: Mutex<String>,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Answers whose last byte was written: when, and to which attempt.
    pub answers: Mutex<Vec<Arrival>>,
}

impl Engine {
    pub async fn start(id: &str, work: Duration, statement: &str) -> Result<Arc<Self>, String> {
        let socket = TcpListener::bind("127.0.0.1:0").await;
        let socket = socket.map_err(|e| format!("engine {id}: {e}"))?;
        let addr = socket.local_addr().map_err(|e| e.to_string())?;
        let engine = Arc::new(Engine {
            id: id.to_owned(),
            addr,
            work,
            statement: Mutex::new(statement.to_owned()),
            arrivals: Mutex::default(),
            answers: Mutex::default(),
        });
        let served = engine.clone();
        spawn(async move {
            while let Ok((stream, _)) = socket.accept().await {
                let engine = served.clone();
                spawn(async move { engine.serve(stream).await }).detach();
            }
        })
        .detach();
        Ok(engine)
    }

    /// What it ran so far.
    pub fn ran(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    async fn serve(&self, mut stream: TcpStream) {
        while let Some(head) = read_request(&mut stream).await {
            let attempt = header_value(&head, "x-turmerichold-attempt-id").unwrap_or_default();
            let expected = header_value(&head, "x-turmerichold-expect-instance");
            let text = if expected.is_some_and(|id| id != self.id) {
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Turmerichold-Instance-Id: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id
                )
            } else {
                self.arrivals.lock().unwrap().push(Arrival {
                    at: Instant::now(),
                    attempt: attempt.clone(),
                });
                Timer::after(self.work).await;
                let statement = self.statement.lock().unwrap().clone();
                format!(
                    "HTTP/1.1 200 OK\r\nX-Turmerichold-Attempt-Id: {attempt}\r\n\
                     X-Turmerichold-Response-Seal: s-{attempt}\r\n\
                     X-Turmerichold-Instance-Id: {}\r\n{statement}Content-Length: 5\r\n\r\nhello",
                    self.id
                )
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            self.answers.lock().unwrap().push(Arrival {
                at: Instant::now(),
                attempt,
            });
        }
    }
}
