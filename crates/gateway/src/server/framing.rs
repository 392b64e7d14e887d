//! HTTP/1 message framing: finds where a request on a connection ends.

use http::Method;
use httparse::{EMPTY_HEADER, Status};

/// The maximum number of headers of a request; the same limit as that of the HTTP library.
const HEADERS_MAX: usize = 100;
/// The maximum length in bytes of a chunk-size or trailer line in a chunked body.
const LINE_MAX_BYTES: usize = 4_096;

/// The parts of a request head that decide where the request ends and how it may be pipelined.
#[derive(Debug)]
pub(crate) struct RequestFrame {
    /// The size of the head in bytes.
    pub(crate) head: usize,
    /// The body that follows the head.
    pub(crate) body: BodyState,
    /// Whether this is the last request that is read from the connection.
    pub(crate) last: bool,
    /// Whether the method is safe, so that the request may run concurrently with others of the
    /// connection.
    pub(crate) safe: bool,
    /// Whether the caller may hold the body back until it receives `100 Continue`.
    pub(crate) expects_continue: bool,
    /// The reason why the request must be refused, if its framing is invalid.
    pub(crate) error: Option<&'static str>,
}

impl RequestFrame {
    /// Parses a request head. Returns `None` if it is incomplete.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Option<Self>, httparse::Error> {
        let mut headers = [EMPTY_HEADER; HEADERS_MAX];
        let mut request = httparse::Request::new(&mut headers);
        let Status::Complete(size) = request.parse(bytes)? else {
            return Ok(None);
        };
        let values = |name: &str| -> Vec<&[u8]> {
            let named = request
                .headers
                .iter()
                .filter(|h| h.name.eq_ignore_ascii_case(name));
            named.map(|h| h.value).collect()
        };
        let has_token = |name: &str, token: &str| {
            let values = values(name);
            let mut tokens = values.iter().flat_map(|v| v.split(|b| *b == b','));
            tokens.any(|w| w.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        };
        let (lengths, codings) = (values("content-length"), values("transfer-encoding"));
        let (body, error) = match (&*lengths, &*codings) {
            ([], []) => (BodyState::Done, None),
            ([length], []) => match parse_length(length) {
                Some(0) => (BodyState::Done, None),
                Some(length) => (BodyState::Length(length), None),
                None => (BodyState::Done, Some("the body has no valid length")),
            },
            ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => {
                (BodyState::ChunkSize, None)
            }
            ([], _) => (BodyState::Done, Some("the body has an unknown coding")),
            (_, []) => (BodyState::Done, Some("the body has two lengths")),
            _ => (BodyState::Done, Some("the body has a length and a coding")),
        };
        let error =
            error.or_else(|| has_bare_lf(&bytes[..size]).then_some("a line ends without CR"));
        let http_1_0 = request.version == Some(0);
        let method = request.method.and_then(|m| m.parse::<Method>().ok());
        Ok(Some(Self {
            head: size,
            body,
            last: error.is_some() || http_1_0 || has_token("connection", "close"),
            safe: method.is_some_and(|m| m.is_safe()),
            expects_continue: has_token("expect", "100-continue"),
            error,
        }))
    }

    /// Creates a frame for `size` bytes that are no valid request; the HTTP library sends the error
    /// to the caller.
    pub(crate) fn unparsable(size: usize) -> Self {
        Self {
            head: size,
            body: BodyState::Done,
            last: true,
            safe: false,
            expects_continue: false,
            error: None,
        }
    }
}

/// Parses a `Content-Length` value. Only digits are accepted, because parsers differ on signs and
/// lists.
fn parse_length(value: &[u8]) -> Option<u64> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value)
        .ok()
        .filter(|_| digits)?
        .parse()
        .ok()
}

fn has_bare_lf(head: &[u8]) -> bool {
    let newlines = head.iter().enumerate().filter(|(_, b)| **b == b'\n');
    newlines
        .into_iter()
        .any(|(index, _)| index == 0 || head[index - 1] != b'\r')
}

/// The decoder state of a request body: the part that is still expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyState {
    /// The body is complete.
    Done,
    /// This many bytes of a body with a fixed length remain.
    Length(u64),
    /// The next bytes are a chunk-size line.
    ChunkSize,
    /// This many bytes of the current chunk's data remain.
    ChunkData(u64),
    /// The next bytes are the line end after a chunk's data.
    ChunkEnd,
    /// The next bytes are trailer lines, after the last chunk.
    Trailer,
}

/// The error for a malformed chunked body.
#[derive(Debug)]
pub(crate) struct BadChunk;

impl BodyState {
    /// Consumes the bytes at the start of `bytes` that belong to the body and returns their number.
    /// Zero means that more bytes are needed, unless the body is complete.
    pub(crate) fn take(&mut self, bytes: &[u8]) -> Result<usize, BadChunk> {
        let available = bytes.len() as u64;
        let mut used = 0;
        match *self {
            Self::Done => {}
            Self::Length(remaining) => {
                used = remaining.min(available);
                *self = match remaining - used {
                    0 => Self::Done,
                    remaining => Self::Length(remaining),
                };
            }
            Self::ChunkData(remaining) => {
                used = remaining.min(available);
                *self = match remaining - used {
                    0 => Self::ChunkEnd,
                    remaining => Self::ChunkData(remaining),
                };
            }
            Self::ChunkEnd => match bytes {
                [b'\r', b'\n', ..] => {
                    used = 2;
                    *self = Self::ChunkSize;
                }
                [] | [b'\r'] => {}
                _ => return Err(BadChunk),
            },
            Self::ChunkSize => match httparse::parse_chunk_size(bytes) {
                Ok(Status::Complete((line, size))) => {
                    used = line as u64;
                    *self = match size {
                        0 => Self::Trailer,
                        size => Self::ChunkData(size),
                    };
                }
                Ok(Status::Partial) if bytes.len() < LINE_MAX_BYTES => {}
                _ => return Err(BadChunk),
            },
            Self::Trailer => match bytes.windows(2).position(|w| w == b"\r\n") {
                Some(0) => {
                    used = 2;
                    *self = Self::Done;
                }
                Some(end) => used = end as u64 + 2,
                None if bytes.len() < LINE_MAX_BYTES => {}
                None => return Err(BadChunk),
            },
        }
        Ok(usize::try_from(used).expect("at most the length of `bytes`"))
    }
}
