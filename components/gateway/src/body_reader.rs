use bytes::Bytes;
use dispatch::{BodyPace, LeastPace};
use domain::now;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use transport::with_timeout;

use crate::body_buffers::Reservation;
use crate::refusal::Refusal;

/// Reads the body of a request into memory that is reserved as the bytes arrive.
pub struct BodyReader {
    /// Longest body in bytes.
    limit: usize,
    pace: BodyPace,
    memory: Reservation,
    /// Bytes of the reservation for the head of the request.
    head: usize,
    bytes: Vec<u8>,
}

impl BodyReader {
    /// `memory` holds the head of the request.
    pub fn new(limit: usize, least: LeastPace, memory: Reservation) -> Self {
        BodyReader {
            limit,
            pace: BodyPace::new(least, now()),
            head: memory.bytes(),
            memory,
            bytes: Vec::new(),
        }
    }

    /// Reads to the end of the body; returns it with its memory.
    pub async fn read(mut self, mut body: Incoming) -> Result<(Bytes, Reservation), Refusal> {
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if announced > self.limit {
            return Err(Refusal::TooLong);
        }
        while !body.is_end_stream() {
            let pause = self.pace.next_by().saturating_sub(now());
            let frame = with_timeout(pause, body.frame()).await;
            match frame.ok_or(Refusal::TooSlow)? {
                None => break,
                Some(Err(_)) => return Err(Refusal::Malformed("the body broke off")),
                Some(Ok(frame)) => {
                    // Trailers are not passed on.
                    if let Ok(data) = frame.into_data() {
                        self.push(&data, announced)?;
                    }
                }
            }
        }
        Ok((self.bytes.into(), self.memory))
    }

    fn push(&mut self, data: &[u8], announced: usize) -> Result<(), Refusal> {
        let len = self.bytes.len() + data.len();
        if len > self.limit {
            return Err(Refusal::TooLong);
        }
        if len > self.bytes.capacity() {
            // Doubled, but no more than a body of this length needs.
            let most = if announced >= len {
                announced
            } else {
                self.limit
            };
            let capacity = (2 * self.bytes.capacity()).min(most).max(len);
            let held = self.head + capacity;
            self.memory.grow_to(held).map_err(Refusal::NoMemory)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        self.pace.receive(data.len(), now());
        Ok(())
    }
}
