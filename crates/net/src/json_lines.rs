//! A response read line by line, one JSON value per line.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures::io::AsyncRead;
use http_types::Body;
use serde::de::DeserializeOwned;

use crate::client::ClientError;
use crate::timer;

/// Buffer space reserved for one read.
const READ_SIZE: usize = 16 * 1024;

/// Response body read line by line, for example that of a watch.
#[derive(Debug)]
pub struct JsonLines {
    address: SocketAddr,
    body: Body,
    max_line_bytes: u64,
    buffer: Vec<u8>,
    searched: usize,
    ended: bool,
}

impl JsonLines {
    pub(crate) fn new(address: SocketAddr, body: Body, max_line_bytes: u64) -> Self {
        JsonLines {
            address,
            body,
            max_line_bytes,
            buffer: Vec::new(),
            searched: 0,
            ended: false,
        }
    }

    /// Returns the next value, or `None` when the peer ended the response
    /// properly. After waiting for `timeout` it fails with a timeout error, and
    /// may be called again without losing data. Any other error ends the
    /// response.
    pub async fn next<R: DeserializeOwned>(
        &mut self,
        timeout: Duration,
    ) -> Result<Option<R>, ClientError> {
        let line = poll_fn(|context| self.poll_line(context));
        let line = match timer::timeout(timeout, line).await {
            Err(timer::Elapsed) => return Err(ClientError::timed_out(self.address)),
            Ok(line) => line?,
        };
        match line {
            None => Ok(None),
            Some(line) => serde_json::from_slice(&line)
                .map(Some)
                .map_err(ClientError::Body),
        }
    }

    fn poll_line(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Vec<u8>>, ClientError>> {
        loop {
            if let Some(line) = self.take_line() {
                if line.iter().all(u8::is_ascii_whitespace) {
                    continue;
                }
                return Poll::Ready(Ok(Some(line)));
            }
            if self.ended {
                return Poll::Ready(Ok(None));
            }
            ready!(self.poll_fill(context))?;
        }
    }

    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ClientError>> {
        if self.buffer.len() as u64 > self.max_line_bytes {
            return Poll::Ready(Err(ClientError::ResponseTooLarge {
                address: self.address,
                limit: self.max_line_bytes,
            }));
        }
        let start = self.buffer.len();
        self.buffer.resize(start + READ_SIZE, 0);
        let read = Pin::new(&mut self.body).poll_read(context, &mut self.buffer[start..]);
        let count = match &read {
            Poll::Ready(Ok(count)) => *count,
            _ => 0,
        };
        self.buffer.truncate(start + count);
        let count = ready!(read).map_err(|error| ClientError::from_body(self.address, error))?;
        self.ended = count == 0;
        Poll::Ready(Ok(()))
    }

    /// Removes and returns one complete line or, at the end of the response,
    /// the remaining bytes.
    fn take_line(&mut self) -> Option<Vec<u8>> {
        let found = self.buffer[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n');
        let Some(position) = found else {
            self.searched = self.buffer.len();
            let rest = self.ended && !self.buffer.is_empty();
            return rest.then(|| {
                self.searched = 0;
                std::mem::take(&mut self.buffer)
            });
        };
        let end = self.searched + position + 1;
        let rest = self.buffer.split_off(end);
        self.searched = 0;
        Some(std::mem::replace(&mut self.buffer, rest))
    }
}
