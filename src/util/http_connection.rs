//! Server side of one HTTP/1.1 connection, on top of the `actix-http` codec.
//!
//! The library's dispatcher reads ahead of the answers that its client does not take, without a bound.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{ConnectionType, Request, Response, ServiceConfig};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::codec::{Decoder, Encoder};

const MAX_HEAD_BYTES: usize = 16 * 1024;
/// From the first byte of a head to its last.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit for each part of a body to arrive, and for the client to take some of an answer.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
const READ_BYTES: usize = 4 * 1024;
const BODY_READ_BYTES: usize = 64 * 1024;

/// The connection must be closed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ConnectionError {
    #[display("connection closed")]
    Ended,
    #[display("connection failed: {_0}")]
    Broken(io::Error),
    #[display("malformed request: {_0}")]
    Malformed(ParseError),
    #[display("request head exceeds {MAX_HEAD_BYTES} bytes")]
    HeadTooLarge,
    #[display("malformed body: {_0}")]
    BadBody(PayloadError),
    #[display("the client did not send or read in time")]
    TimedOut,
}

thread_local! {
    /// Shared by all codecs of the thread, since each configuration runs a timer for the date.
    static CODEC_CONFIG: ServiceConfig = ServiceConfig::default();
}

pub(crate) fn codec_config() -> ServiceConfig {
    CODEC_CONFIG.with(Clone::clone)
}

pub(crate) struct ServerConnection {
    stream: TcpStream,
    codec: Codec,
    input: BytesMut,
    output: BytesMut,
    /// The body of the last request has not been read to its end.
    in_body: bool,
}

impl ServerConnection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let (input, output) = Default::default();
        Self { stream, codec: Codec::new(codec_config()), input, output, in_body: false }
    }

    /// Waits up to `limit` for the first byte of the next request; false if none has come.
    pub(crate) async fn has_input(&mut self, limit: Duration) -> Result<bool, ConnectionError> {
        if !self.input.is_empty() {
            return Ok(true);
        }
        match timeout(limit, self.read_some(READ_BYTES)).await {
            Ok(read) => read.map(|()| true),
            Err(_) => Ok(false),
        }
    }

    /// Reads the head of the next request.
    pub(crate) async fn head(&mut self) -> Result<Request, ConnectionError> {
        let deadline = Instant::now() + HEAD_TIMEOUT;
        loop {
            if let Some(Message::Item(request)) = self.codec.decode(&mut self.input)? {
                self.in_body = match self.codec.message_type() {
                    MessageType::None => false,
                    MessageType::Payload => true,
                    MessageType::Stream => return Err(ParseError::Header.into()),
                };
                return Ok(request);
            }
            if self.input.len() > MAX_HEAD_BYTES {
                return Err(ConnectionError::HeadTooLarge);
            }
            let read = timeout_at(deadline, self.read_some(READ_BYTES)).await;
            read.map_err(|_| ConnectionError::TimedOut)??;
        }
    }

    /// Tells a client that waits for it to send the body.
    pub(crate) async fn accept_body(&mut self) -> Result<(), ConnectionError> {
        self.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        self.flush().await
    }

    /// The next part of the body; none at its end.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, ConnectionError> {
        while self.in_body {
            match self.codec.decode(&mut self.input)? {
                Some(Message::Chunk(Some(chunk))) => return Ok(Some(chunk)),
                Some(Message::Chunk(None) | Message::Item(_)) => self.in_body = false,
                None => {
                    let read = timeout(STALL_TIMEOUT, self.read_some(BODY_READ_BYTES)).await;
                    read.map_err(|_| ConnectionError::TimedOut)??;
                }
            }
        }
        Ok(None)
    }

    async fn read_some(&mut self, bytes: usize) -> Result<(), ConnectionError> {
        self.input.reserve(bytes);
        match self.stream.read_buf(&mut self.input).await? {
            0 => Err(ConnectionError::Ended),
            _ => Ok(()),
        }
    }

    /// Sends a response. Returns false if the connection cannot carry another request.
    pub(crate) async fn respond(
        &mut self,
        response: Response<BoxBody>,
    ) -> Result<bool, ConnectionError> {
        let mut body = BoxBody::new(());
        let mut response = response.map_body(|_, own| body = own);
        if self.in_body {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        let size = body.size();
        self.codec.encode(Message::Item((response, size)), &mut self.output)?;
        if !matches!(size, BodySize::None | BodySize::Sized(0)) {
            while let Some(chunk) = poll_fn(|context| Pin::new(&mut body).poll_next(context)).await
            {
                let chunk = chunk.map_err(|error| io::Error::other(error.to_string()))?;
                self.codec.encode(Message::Chunk(Some(chunk)), &mut self.output)?;
                self.flush().await?;
            }
        }
        self.codec.encode(Message::Chunk(None), &mut self.output)?;
        self.flush().await?;
        Ok(self.codec.keep_alive())
    }

    async fn flush(&mut self) -> Result<(), ConnectionError> {
        while !self.output.is_empty() {
            let written = timeout(STALL_TIMEOUT, self.stream.write_buf(&mut self.output)).await;
            if written.map_err(|_| ConnectionError::TimedOut)?? == 0 {
                return Err(ConnectionError::Ended);
            }
        }
        // The buffer would otherwise keep the size of the largest answer.
        self.output = BytesMut::new();
        Ok(())
    }
}
