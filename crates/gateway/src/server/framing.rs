//! Where a request on a connection ends.

use http::Method;
use httparse::{EMPTY_HEADER, Status};

/// The most headers of a request; the bound of the HTTP library.
const HEADERS_MAX: usize = 100;
/// The longest line of a chunked body other than data.
const LINE_MAX: usize = 4_096;

/// A request's head, as far as its extent and its place among others need it.
#[derive(Debug)]
pub(crate) struct Frame {
    /// The size of its head.
    pub(crate) head: usize,
    /// What follows the head.
    pub(crate) rest: Rest,
    /// Whether nothing after it is to be read.
    pub(crate) last: bool,
    /// Whether it may run beside others of its connection.
    pub(crate) safe: bool,
    /// Whether its body may stay away until it is asked for.
    pub(crate) expects: bool,
    /// Why it must be refused.
    pub(crate) fault: Option<&'static str>,
}

impl Frame {
    /// Reads a head; `None` until it is whole.
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
        let says = |name: &str, word: &str| {
            let values = values(name);
            let mut words = values.iter().flat_map(|v| v.split(|b| *b == b','));
            words.any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
        };
        let (lengths, codings) = (values("content-length"), values("transfer-encoding"));
        let (rest, fault) = match (&*lengths, &*codings) {
            ([], []) => (Rest::Done, None),
            ([length], []) => match number(length) {
                Some(0) => (Rest::Done, None),
                Some(length) => (Rest::Length(length), None),
                None => (Rest::Done, Some("the body has no valid length")),
            },
            ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => (Rest::Size, None),
            ([], _) => (Rest::Done, Some("the body has an unknown coding")),
            (_, []) => (Rest::Done, Some("the body has two lengths")),
            _ => (Rest::Done, Some("the body has a length and a coding")),
        };
        let fault = fault.or_else(|| bare_line(&bytes[..size]).then_some("a line ends without CR"));
        let old = request.version == Some(0);
        let method = request.method.and_then(|m| m.parse::<Method>().ok());
        Ok(Some(Self {
            head: size,
            rest,
            last: fault.is_some() || old || says("connection", "close"),
            safe: method.is_some_and(|m| m.is_safe()),
            expects: says("expect", "100-continue"),
            fault,
        }))
    }

    /// Bytes that are no request; the HTTP library tells the caller.
    pub(crate) fn broken(size: usize) -> Self {
        Self {
            head: size,
            rest: Rest::Done,
            last: true,
            safe: false,
            expects: false,
            fault: None,
        }
    }
}

/// Lengths are digits only; parsers differ on signs and lists.
fn number(value: &[u8]) -> Option<u64> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value)
        .ok()
        .filter(|_| digits)?
        .parse()
        .ok()
}

fn bare_line(head: &[u8]) -> bool {
    let ends = head.iter().enumerate().filter(|(_, b)| **b == b'\n');
    ends.into_iter()
        .any(|(at, _)| at == 0 || head[at - 1] != b'\r')
}

/// The part of a body that is still to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rest {
    /// Nothing.
    Done,
    /// This many bytes.
    Length(u64),
    /// Chunks, from the size of one on.
    Size,
    /// The data of a chunk.
    Data(u64),
    /// The line end behind the data of a chunk, then further chunks.
    DataEnd,
    /// The lines behind the last chunk.
    Trailer,
}

/// A chunked body that cannot be read.
#[derive(Debug)]
pub(crate) struct BadChunk;

impl Rest {
    /// Takes the bytes at the start of `bytes` that belong to the body; returns how many. None means
    /// that more are needed, unless the body is done.
    pub(crate) fn take(&mut self, bytes: &[u8]) -> Result<usize, BadChunk> {
        let available = bytes.len() as u64;
        let mut used = 0;
        match *self {
            Self::Done => {}
            Self::Length(left) => {
                used = left.min(available);
                *self = match left - used {
                    0 => Self::Done,
                    left => Self::Length(left),
                };
            }
            Self::Data(left) => {
                used = left.min(available);
                *self = match left - used {
                    0 => Self::DataEnd,
                    left => Self::Data(left),
                };
            }
            Self::DataEnd => match bytes {
                [b'\r', b'\n', ..] => {
                    used = 2;
                    *self = Self::Size;
                }
                [] | [b'\r'] => {}
                _ => return Err(BadChunk),
            },
            Self::Size => match httparse::parse_chunk_size(bytes) {
                Ok(Status::Complete((line, size))) => {
                    used = line as u64;
                    *self = match size {
                        0 => Self::Trailer,
                        size => Self::Data(size),
                    };
                }
                Ok(Status::Partial) if bytes.len() < LINE_MAX => {}
                _ => return Err(BadChunk),
            },
            Self::Trailer => match bytes.windows(2).position(|w| w == b"\r\n") {
                Some(0) => {
                    used = 2;
                    *self = Self::Done;
                }
                Some(end) => used = end as u64 + 2,
                None if bytes.len() < LINE_MAX => {}
                None => return Err(BadChunk),
            },
        }
        Ok(usize::try_from(used).expect("no more than the bytes given"))
    }
}
