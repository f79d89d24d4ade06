//! Connection of a caller, split so that a disconnect is noticed while a response is written.

use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{ConnectionType, Method, Request, Response, StatusCode, Version};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::codec::{Decoder, Encoder};

use super::{codec_config, probe_idle_peer};
use crate::core::routing::CallerLimits;
use crate::gateway::memory::{BodyBuffer, CALL_BYTES, MemoryFull, MemoryPermit};

/// Limit for pipelined input that is buffered while a request is served. Part of [`CALL_BYTES`].
const MAX_READ_AHEAD: usize = 16 * 1024;
/// Longer than the retransmission of a lost packet.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Written at a time of a body.
const WRITE_BYTES: usize = 64 * 1024;
/// Size of the buffers of an idle connection.
const KEPT_BYTES: usize = 4 * 1024;
/// Read at a time of a body.
const READ_BYTES: usize = 64 * 1024;

thread_local! {
    /// Shared by all connections whose input is dropped; there may be as many as descriptors.
    static DISCARDED: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_BYTES].into());
}

/// Limit for a response that the gateway generates. It blocks only if the caller has not read earlier
/// ones, and is sent when the request's deadline may have passed.
const SHORT_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A request whose body has not been read yet.
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    /// Path and query, not normalized.
    pub(crate) target: Box<str>,
    pub(crate) host: Box<str>,
    pub(crate) headers: HeaderMap,
    has_body: bool,
    expects_continue: bool,
}

impl CallerRequest {
    /// `None` if the body is chunked.
    fn declared_length(&self) -> Option<usize> {
        if !self.has_body {
            return Some(0);
        }
        if self.headers.contains_key(TRANSFER_ENCODING) {
            return None;
        }
        self.headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
    }

    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

#[derive(Debug, Display, Error, From)]
pub(crate) enum ReadError {
    /// Closed by the caller.
    #[display("connection closed")]
    Ended,
    #[display("connection failed: {_0}")]
    Broken(io::Error),
    #[display("malformed request: {_0}")]
    Malformed(ParseError),
    #[display("request head exceeds {limit} bytes")]
    #[from(skip)]
    HeadTooLarge { limit: usize },
    #[display("request body exceeds {limit} bytes")]
    #[from(skip)]
    BodyTooLarge { limit: usize },
    #[display("{_0}")]
    NoMemory(MemoryFull),
    #[display("request not received in time")]
    TimedOut,
}

/// Gives back a buffer after a message of `message_bytes`. Its capacity does not tell its size, as it
/// shrinks with what is taken from the front.
fn shrink_empty(buffer: &mut BytesMut, message_bytes: usize) {
    if buffer.is_empty() && message_bytes > KEPT_BYTES {
        *buffer = BytesMut::with_capacity(KEPT_BYTES);
    }
}

/// A connection that accepts nothing is broken: another write would not end either.
pub(super) async fn write_some(
    half: &mut (impl AsyncWrite + Unpin),
    buffer: &mut BytesMut,
) -> io::Result<usize> {
    match half.write_buf(buffer).await {
        Ok(0) => Err(io::ErrorKind::WriteZero.into()),
        written => written,
    }
}

/// Why a connection of a caller is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum CloseReason {
    #[display("caller_left")]
    CallerLeft,
    /// The last answer announced it.
    #[display("announced")]
    Announced,
    #[display("idle")]
    Idle,
    #[display("stopping")]
    Stopping,
    /// The last answer could not be completed.
    #[display("answer_incomplete")]
    Incomplete,
}

type SharedCodec = Rc<RefCell<Codec>>;

pub(crate) struct CallerReader {
    half: OwnedReadHalf,
    buffer: BytesMut,
    codec: SharedCodec,
}

/// How much of a response has been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "lowercase")]
pub(crate) enum AnswerState {
    None,
    Partial,
    Whole,
}

pub(crate) struct CallerWriter {
    half: OwnedWriteHalf,
    buffer: BytesMut,
    codec: SharedCodec,
    /// Bytes of the current response, its head included.
    sent_bytes: u64,
    is_whole: bool,
    has_failed: bool,
}

impl CallerWriter {
    fn new(half: OwnedWriteHalf, codec: SharedCodec) -> Self {
        let buffer = BytesMut::new();
        Self { half, buffer, codec, sent_bytes: 0, is_whole: false, has_failed: false }
    }
}

pub(crate) fn split_caller(stream: TcpStream) -> (CallerReader, CallerWriter) {
    // A caller that reads slowly keeps its call until the call's deadline.
    probe_idle_peer(&stream);
    let codec = Rc::new(RefCell::new(Codec::new(codec_config())));
    let (reader, writer) = stream.into_split();
    (
        CallerReader { half: reader, buffer: BytesMut::new(), codec: codec.clone() },
        CallerWriter::new(writer, codec),
    )
}

impl CallerReader {
    /// Waits for the first byte of a request.
    pub(crate) async fn wait(&mut self, deadline: Instant) -> Result<(), ReadError> {
        if !self.buffer.is_empty() {
            return Ok(());
        }
        self.fill(deadline).await
    }

    /// True if there is input that was not decoded. Asks the socket itself, as the runtime learns of
    /// input only when it next polls.
    pub(crate) fn has_pending_input(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let mut peek = || SockRef::from(self.half.as_ref()).peek(&mut byte);
        !self.buffer.is_empty() || matches!(peek(), Ok(count) if count > 0)
    }

    /// Reads the head of a request. A large one needs memory, as there may be one on each connection.
    pub(crate) async fn head(
        &mut self,
        limits: &CallerLimits,
        memory: &MemoryPermit,
    ) -> Result<CallerRequest, ReadError> {
        let mut is_large = false;
        let deadline = Instant::now() + limits.header_timeout;
        loop {
            let size = self.buffer.len();
            let decoded = self.codec.borrow_mut().decode(&mut self.buffer)?;
            if let Some(Message::Item(request)) = decoded {
                // The codec has consumed exactly the head.
                if size - self.buffer.len() > limits.header_bytes {
                    return Err(ReadError::HeadTooLarge { limit: limits.header_bytes });
                }
                return self.accept(&request);
            }
            if self.buffer.len() > limits.header_bytes {
                return Err(ReadError::HeadTooLarge { limit: limits.header_bytes });
            }
            if self.buffer.len() > KEPT_BYTES && !is_large {
                memory.acquire(limits.header_bytes, Duration::ZERO).await?;
                is_large = true;
            }
            self.fill(deadline).await?;
        }
    }

    fn accept(&self, request: &Request) -> Result<CallerRequest, ReadError> {
        // Answers have no length, and earlier versions do not know chunks.
        if request.version() < Version::HTTP_11 {
            return Err(ParseError::Version.into());
        }
        let kind = self.codec.borrow().message_type();
        let has_body = match kind {
            MessageType::None => false,
            MessageType::Payload => true,
            // After an upgrade, requests could bypass the checks of the gateway.
            MessageType::Stream => return Err(ParseError::Header.into()),
        };
        let head = request.head();
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
        let host = head.headers.get("host").and_then(|value| value.to_str().ok());
        let host = host.or_else(|| head.uri.host()).unwrap_or_default();
        Ok(CallerRequest {
            method: head.method.clone(),
            target: target.into(),
            host: host.into(),
            headers: head.headers.clone(),
            has_body,
            expects_continue: head.expect(),
        })
    }

    /// Reads the body of the request that `head` returned. Memory for a body with a declared length is
    /// acquired before any of it is read; until then, the caller is held up by flow control.
    pub(crate) async fn body(
        &mut self,
        request: &CallerRequest,
        writer: &mut CallerWriter,
        limit: usize,
        deadline: Instant,
        memory: &MemoryPermit,
        memory_wait: Duration,
    ) -> Result<Bytes, ReadError> {
        let declared = request.declared_length();
        if declared.is_some_and(|length| length > limit) {
            return Err(ReadError::BodyTooLarge { limit });
        }
        let capacity = declared.unwrap_or(0);
        memory.acquire(CALL_BYTES + capacity, memory_wait).await?;
        if !request.has_body {
            return Ok(Bytes::new());
        }
        if request.expects_continue {
            let written = writer.half.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            timeout_at(deadline, written).await.map_err(|_| ReadError::TimedOut)??;
        }
        let read_bytes = declared.unwrap_or(READ_BYTES).clamp(KEPT_BYTES, READ_BYTES);
        let mut body = BodyBuffer::with_capacity(memory, capacity, limit);
        loop {
            let decoded = self.codec.borrow_mut().decode(&mut self.buffer)?;
            match decoded {
                Some(Message::Chunk(Some(chunk))) if body.exceeds(chunk.len()) => {
                    return Err(ReadError::BodyTooLarge { limit });
                }
                Some(Message::Chunk(Some(chunk))) => {
                    let time_left = deadline.saturating_duration_since(Instant::now());
                    body.push(&chunk, memory_wait.min(time_left)).await?;
                }
                Some(Message::Chunk(None) | Message::Item(_)) => {
                    let body = body.finish();
                    shrink_empty(&mut self.buffer, body.len());
                    return Ok(body);
                }
                None => {
                    self.buffer.reserve(read_bytes);
                    self.fill_body(deadline, memory).await?;
                }
            }
        }
    }

    /// Reads and drops input until the caller closes the connection.
    pub(crate) async fn discard(&mut self) {
        self.buffer = BytesMut::new();
        while self.half.readable().await.is_ok() {
            match DISCARDED.with_borrow_mut(|bytes| self.half.try_read(bytes)) {
                Ok(0) => return,
                Ok(_) => yield_now().await,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Gives up a body that has stopped if others need the memory.
    async fn fill_body(
        &mut self,
        deadline: Instant,
        memory: &MemoryPermit,
    ) -> Result<(), ReadError> {
        let started = Instant::now();
        loop {
            match self.fill(deadline.min(Instant::now() + STALL_TIMEOUT)).await {
                Err(ReadError::TimedOut) if Instant::now() < deadline => {}
                filled => return filled,
            }
            if memory.is_contended() {
                return Err(memory.refuse_stalled(started.elapsed()).into());
            }
        }
    }

    async fn fill(&mut self, deadline: Instant) -> Result<(), ReadError> {
        let read = timeout_at(deadline, self.half.read_buf(&mut self.buffer)).await;
        match read {
            Err(_) => Err(ReadError::TimedOut),
            Ok(Ok(0)) => Err(ReadError::Ended),
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) => Err(error.into()),
        }
    }

    /// Completes when the caller disconnects. Input is buffered for the next request.
    pub(crate) async fn closed(&mut self) {
        while self.buffer.len() < MAX_READ_AHEAD {
            match self.half.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
    }
}

impl CallerWriter {
    pub(crate) async fn shut_down(&mut self) {
        // Fails if the caller has disconnected already.
        let _ = self.half.shutdown().await;
    }

    /// Begins the response to another request.
    pub(crate) fn begin_answer(&mut self) {
        self.sent_bytes = 0;
        self.is_whole = false;
    }

    pub(crate) fn answer_state(&self) -> AnswerState {
        match self.sent_bytes {
            _ if self.is_whole => AnswerState::Whole,
            0 => AnswerState::None,
            _ => AnswerState::Partial,
        }
    }

    pub(crate) fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// True if the connection broke while the response was sent.
    pub(crate) fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Starts a response of unknown length. The head is sent with the first bytes of the body;
    /// until then, `discard_unsent` can revoke the response.
    pub(crate) fn start(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        close: bool,
    ) -> io::Result<()> {
        let bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        self.encode_head(status, headers, bodiless.then_some(0), close)
    }

    /// Discards a response that was started. Returns false if part of it has been sent.
    pub(crate) fn discard_unsent(&mut self) -> bool {
        self.buffer.clear();
        self.sent_bytes == 0
    }

    fn encode_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        length: Option<u64>,
        close: bool,
    ) -> io::Result<()> {
        let mut response = Response::with_body(status, ());
        *response.headers_mut() = headers;
        if close {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        let size = length.map_or(BodySize::Stream, BodySize::Sized);
        let mut codec = self.codec.borrow_mut();
        codec.encode(Message::Item((response, size)), &mut self.buffer)
    }

    /// Sends a short response that the gateway generated.
    pub(crate) async fn answer(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
        close: bool,
    ) -> io::Result<()> {
        self.encode_head(status, headers, Some(body.len() as u64), close)?;
        self.codec.borrow_mut().encode(Message::Chunk(Some(body)), &mut self.buffer)?;
        let sent = timeout(SHORT_ANSWER_TIMEOUT, self.finish()).await;
        sent.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Sends a large chunk in pieces, as the buffer lasts as long as the connection.
    pub(crate) async fn chunk(&mut self, mut chunk: Bytes) -> io::Result<()> {
        while !chunk.is_empty() {
            let piece = chunk.split_to(chunk.len().min(WRITE_BYTES));
            self.codec.borrow_mut().encode(Message::Chunk(Some(piece)), &mut self.buffer)?;
            self.flush().await?;
        }
        Ok(())
    }

    /// Ends the body. Without it, the caller can tell that the response is incomplete.
    pub(crate) async fn finish(&mut self) -> io::Result<()> {
        self.codec.borrow_mut().encode(Message::Chunk(None), &mut self.buffer)?;
        self.flush().await?;
        shrink_empty(&mut self.buffer, self.sent_bytes as usize);
        self.is_whole = true;
        Ok(())
    }

    /// May be cancelled: the buffer then holds what has not been sent.
    async fn flush(&mut self) -> io::Result<()> {
        while !self.buffer.is_empty() {
            let written = write_some(&mut self.half, &mut self.buffer).await;
            self.has_failed = written.is_err();
            self.sent_bytes += written? as u64;
        }
        Ok(())
    }

    /// Returns an error if the last answer announced the close of the connection.
    pub(crate) fn next_request(&self) -> Result<(), CloseReason> {
        match self.codec.borrow().keep_alive() {
            true => Ok(()),
            false => Err(CloseReason::Announced),
        }
    }
}
