use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_lite::{AsyncBufRead, AsyncRead};

/// Response body of several chunks in memory, sent without copying them into one buffer.
pub struct ChunkBody {
    chunks: Vec<Arc<[u8]>>,
    index: usize,
    offset: usize,
}

impl ChunkBody {
    /// A body of `chunks` in their order.
    pub fn new(chunks: Vec<Arc<[u8]>>) -> Self {
        ChunkBody {
            chunks,
            index: 0,
            offset: 0,
        }
    }

    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.chunks.iter().map(|c| c.len()).sum()
    }

    fn remaining(&self) -> &[u8] {
        self.chunks
            .get(self.index)
            .map_or(&[], |c| &c[self.offset..])
    }

    fn advance(&mut self, count: usize) {
        self.offset += count;
        if self.remaining().is_empty() {
            self.index += 1;
            self.offset = 0;
        }
    }
}

impl AsyncRead for ChunkBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let remaining = self.remaining();
        let count = remaining.len().min(buf.len());
        buf[..count].copy_from_slice(&remaining[..count]);
        self.advance(count);
        Poll::Ready(Ok(count))
    }
}

impl AsyncBufRead for ChunkBody {
    fn poll_fill_buf(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Poll::Ready(Ok(self.get_mut().remaining()))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.advance(amount);
    }
}
