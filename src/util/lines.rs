//! Encoding and decoding of JSON lines in byte streams.

use bytes::{Bytes, BytesMut};
use futures_util::stream::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::http_client::{BodyChunks, HttpError};

pub(crate) fn json_line(value: &impl Serialize) -> Bytes {
    let mut line = serde_json::to_vec(value).expect("lines serialize");
    line.push(b'\n');
    line.into()
}

pub(crate) struct LineReader {
    chunks: BodyChunks,
    buffer: BytesMut,
}

impl LineReader {
    pub(crate) fn new(chunks: BodyChunks) -> Self {
        Self { chunks, buffer: BytesMut::new() }
    }

    /// Reads the next value. The end of the body is an error, even between lines: every stream marks
    /// its last value, after which nothing is read.
    pub(crate) async fn next<T: DeserializeOwned>(&mut self) -> Result<T, HttpError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return serde_json::from_slice(&line)
                    .map_err(|error| HttpError::Lost { message: error.to_string().into() });
            }
            match self.chunks.next().await {
                Some(chunk) => self.buffer.extend_from_slice(&chunk?),
                None => return Err(HttpError::Lost { message: "the stream broke off".into() }),
            }
        }
    }
}
