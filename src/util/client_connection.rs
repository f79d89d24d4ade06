//! Client side of one HTTP/1.1 connection, on top of the `actix-http` codec.
//!
//! All responses are read here, whoever sends them.

use std::io::{self, ErrorKind::BrokenPipe};

use actix_http::body::BodySize;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Version};
use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error, From};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

use super::answer_head::{HeadKind, check_head};
use super::http_connection::codec_config;

/// Maximum size of a response head, interim responses included.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Smaller bodies are sent with the head in one write.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;
/// Maximum size of the framing between two pieces of a chunked body. The codec discards chunk
/// extensions and zeros before a chunk size without a limit.
const MAX_FRAMING_BYTES: usize = 16 * 1024;

/// The request may have run.
#[derive(Debug, Display, Error, From)]
pub(crate) enum AnswerError {
    #[display("connection closed before the end of the response")]
    Ended,
    #[display("connection failed: {_0}")]
    Broken(io::Error),
    #[display("malformed response: {_0}")]
    Malformed(ParseError),
    #[display("malformed response body: {_0}")]
    BadBody(PayloadError),
    #[display("response belongs to another request")]
    Foreign,
    #[display("response needs {bytes} bytes of memory")]
    #[from(skip)]
    TooLarge { bytes: usize },
}

impl AnswerError {
    /// The connection ended early, as it does when the upstream ends; a wrong answer shows that it runs.
    pub(crate) fn is_connection_end(&self) -> bool {
        matches!(self, Self::Ended | Self::Broken(_))
    }
}

enum BodyState {
    /// No response is being read, or its body is complete.
    Done,
    Framed(ClientPayloadCodec),
    /// This many bytes follow.
    Sized(u64),
    UntilEnd,
}

impl BodyState {
    fn of_length(length: u64) -> Self {
        match length {
            0 => Self::Done,
            left => Self::Sized(left),
        }
    }
}

/// The codec has refused lengths that are no numbers, and several of them.
fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

pub(crate) struct ClientConnection {
    stream: TcpStream,
    input: BytesMut,
    /// Unsent parts of the request. An upstream may respond before it has read all of it.
    output: BytesMut,
    output_body: Bytes,
    /// Failure of a write, which a later read does not report again.
    write_error: Option<io::Error>,
    codec: Option<ClientCodec>,
    body: BodyState,
    keep_alive: bool,
    head_only: bool,
    ended_by_close: bool,
}

impl ClientConnection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            output_body: Bytes::new(),
            write_error: None,
            codec: Some(ClientCodec::new(codec_config())),
            body: BodyState::Done,
            keep_alive: true,
            head_only: false,
            ended_by_close: false,
        }
    }

    /// Queues a request, which [`ClientConnection::head`] then sends.
    pub(crate) fn request(&mut self, head: RequestHead, body: Bytes) -> Result<(), AnswerError> {
        self.head_only = head.method == Method::HEAD;
        let bare = matches!(head.method, Method::GET | Method::HEAD | Method::DELETE);
        let size = match body.len() {
            0 if bare => BodySize::None,
            len => BodySize::Sized(len as u64),
        };
        let head = RequestHeadType::Owned(head);
        let codec = self.codec.as_mut().ok_or(AnswerError::Ended)?;
        codec.encode(Message::Item((head, size)), &mut self.output)?;
        // With a length, the body is sent as it is.
        if body.len() <= MAX_COPIED_BODY_BYTES {
            self.output.extend_from_slice(&body);
        } else {
            self.output_body = body;
        }
        Ok(())
    }

    /// Sends the queued request and reads the head of the response.
    pub(crate) async fn head(&mut self) -> Result<ResponseHead, AnswerError> {
        let mut received = 0;
        loop {
            // Gone after a response that ended with the connection.
            let codec = self.codec.as_mut().ok_or(AnswerError::Ended)?;
            match check_head(&self.input)? {
                // The codec would keep what it says of a body.
                HeadKind::Interim { bytes } => self.input.advance(bytes),
                HeadKind::Final => {
                    let head = codec.decode(&mut self.input)?.ok_or(ParseError::Incomplete)?;
                    self.expect_body(&head)?;
                    return Ok(head);
                }
                HeadKind::Incomplete => match self.read_more().await? {
                    0 => return Err(AnswerError::Ended),
                    count => received += count,
                },
            }
            if received > MAX_HEAD_BYTES {
                return Err(AnswerError::Malformed(ParseError::TooLarge));
            }
        }
    }

    /// Decides how the body is delimited (RFC 9112, 6.3).
    fn expect_body(&mut self, head: &ResponseHead) -> Result<(), ParseError> {
        let codec = self.codec.take().expect("the head has just been read");
        self.keep_alive = codec.keep_alive();
        let length = content_length(&head.headers);
        let is_coded = head.headers.contains_key(TRANSFER_ENCODING);
        let announces_body = is_coded || length.is_some_and(|length| length > 0);
        if is_coded && head.version < Version::HTTP_11
            || announces_body && head.status == StatusCode::NO_CONTENT
        {
            return Err(ParseError::Header);
        }
        let is_bodiless = self.head_only
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let has_payload = codec.message_type() == MessageType::Payload;
        if has_payload && !is_bodiless && (is_coded || length.is_some()) {
            self.body = BodyState::Framed(codec.into_payload_codec());
            return Ok(());
        }
        // The codec takes the rest for responses without a body, but for those of HTTP/1.0.
        self.body = match length {
            _ if is_bodiless => BodyState::Done,
            Some(length) => BodyState::of_length(length),
            None => BodyState::UntilEnd,
        };
        let may_be_followed = !has_payload && !matches!(self.body, BodyState::UntilEnd);
        self.keep_alive &= may_be_followed;
        self.codec = Some(codec).filter(|_| may_be_followed);
        Ok(())
    }

    /// Returns none at the end of the body.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, AnswerError> {
        let mut received = 0;
        loop {
            match &mut self.body {
                BodyState::Done => return Ok(None),
                BodyState::UntilEnd if !self.input.is_empty() => {
                    return Ok(Some(self.input.split().freeze()));
                }
                BodyState::UntilEnd => {}
                BodyState::Sized(left) if !self.input.is_empty() => {
                    let count = self.input.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    self.body = BodyState::of_length(*left - count as u64);
                    return Ok(Some(self.input.split_to(count).freeze()));
                }
                BodyState::Sized(_) => {}
                BodyState::Framed(codec) => match codec.decode(&mut self.input)? {
                    Some(Some(chunk)) => return Ok(Some(chunk)),
                    Some(None) => {
                        self.end_body();
                        return Ok(None);
                    }
                    None => {}
                },
            }
            if received > MAX_FRAMING_BYTES {
                return Err(AnswerError::BadBody(PayloadError::Overflow));
            }
            let count = self.read_more().await?;
            received += count;
            if count == 0 {
                let clean = matches!(self.body, BodyState::UntilEnd);
                self.body = BodyState::Done;
                self.ended_by_close = clean;
                return if clean { Ok(None) } else { Err(AnswerError::Ended) };
            }
        }
    }

    fn end_body(&mut self) {
        if let BodyState::Framed(codec) = std::mem::replace(&mut self.body, BodyState::Done) {
            self.codec = Some(codec.into_message_codec());
        }
    }

    /// Reads the rest of the body; more than `limit` bytes are an error.
    pub(crate) async fn rest(&mut self, limit: usize) -> Result<Bytes, AnswerError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            if body.len() + chunk.len() > limit {
                return Err(AnswerError::BadBody(PayloadError::Overflow));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Sends the rest of the request until input arrives. Returns 0 at the end of the stream.
    ///
    /// The kernel reports a lost connection to one call only, and then reads of it end like those of
    /// a stream that was closed in order.
    async fn read_more(&mut self) -> io::Result<usize> {
        let count = self.send_until_input().await?;
        match self.write_error.take_if(|_| count == 0) {
            Some(error) => Err(error),
            None => Ok(count),
        }
    }

    async fn send_until_input(&mut self) -> io::Result<usize> {
        let (mut reader, mut writer) = self.stream.split();
        loop {
            let is_head_sent = self.output.is_empty();
            let unsent = if is_head_sent { &self.output_body[..] } else { &self.output[..] };
            if unsent.is_empty() {
                // Otherwise it would keep the body.
                self.output_body = Bytes::new();
                return reader.read_buf(&mut self.input).await;
            }
            tokio::select! {
                biased;
                read = reader.read_buf(&mut self.input) => return read,
                written = writer.write(unsent) => match written {
                    Ok(count) if is_head_sent => self.output_body.advance(count),
                    Ok(count) => self.output.advance(count),
                    // The upstream has stopped reading but may have sent a response.
                    Err(error) => {
                        self.output.clear();
                        self.output_body = Bytes::new();
                        self.keep_alive = false;
                        // A broken pipe follows the end of the upstream's stream.
                        self.write_error = Some(error).filter(|error| error.kind() != BrokenPipe);
                    }
                },
            }
        }
    }

    /// Excess bytes after a response prevent reuse, since they would be parsed as the next response.
    pub(crate) fn is_reusable(&self) -> bool {
        self.keep_alive
            && self.codec.is_some()
            && self.input.is_empty()
            && self.output.is_empty()
            && self.output_body.is_empty()
            && matches!(self.body, BodyState::Done)
    }

    /// True if the last body had no length, so that it ended with the connection.
    pub(crate) fn ended_by_close(&self) -> bool {
        self.ended_by_close
    }

    /// Waits until the connection is closed or has input.
    pub(crate) async fn input(&self) {
        // An error is found by whoever uses the connection next.
        let _ = self.stream.readable().await;
    }

    /// True if the connection is open and no unexpected input has arrived.
    pub(crate) fn is_open_and_idle(&mut self) -> bool {
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}
