//! Validation of HTTP request heads, which removes the caller's API key.

use std::time::Duration;

use http::header::{AUTHORIZATION, CONNECTION, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Method, Uri};
use sha2::{Digest, Sha256};
use wagtail_types::{KeyDigest, ServiceId};

/// Header with the caller's API key; `Authorization: Bearer` is accepted as well.
pub(crate) const KEY: HeaderName = HeaderName::from_static("x-wagtail-key");
/// Header with the time left for the request, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("x-wagtail-deadline-ms");
/// Header that names the team to an endpoint.
pub(crate) const TEAM: HeaderName = HeaderName::from_static("x-wagtail-team");
/// Header with the request id sent to an endpoint, which may echo it.
pub(crate) const REQUEST: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the idempotency key.
pub(crate) const IDEMPOTENCY: HeaderName = HeaderName::from_static("idempotency-key");

/// Header with which a caller states that this is the first attempt under its idempotency key.
pub(crate) const ATTEMPT: HeaderName = HeaderName::from_static("x-wagtail-attempt");

const FIRST_ATTEMPT: &str = "first";
const SYSTEM_PREFIX: &str = "x-wagtail-";
const SERVICE_PREFIX: &str = "/svc/";
const KEY_MIN_BYTES: usize = 8;
const KEY_MAX_BYTES: usize = 512;
const IDEMPOTENCY_MAX_BYTES: usize = 128;

const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

/// A validated request head, without the caller's API key.
#[derive(Debug, Clone)]
pub(crate) struct RequestHead {
    /// Service that the path names after `/svc/`.
    pub(crate) service: ServiceId,
    /// Method to send to the endpoint.
    pub(crate) method: Method,
    /// Path and query to send to the endpoint.
    pub(crate) path: String,
    /// Headers to send to the endpoint.
    pub(crate) headers: HeaderMap,
    /// Digest of the caller's API key.
    pub(crate) digest: Option<KeyDigest>,
    /// Timeout that the caller requests.
    pub(crate) deadline: Option<Duration>,
    /// Idempotency key as sent; `None` if the header is missing.
    pub(crate) idempotency: Option<String>,
    /// Whether an earlier attempt under the idempotency key may exist.
    pub(crate) repeat: bool,
}

impl TryFrom<Parts> for RequestHead {
    type Error = &'static str;

    fn try_from(parts: Parts) -> Result<Self, &'static str> {
        let Parts {
            method,
            uri,
            mut headers,
            ..
        } = parts;
        if method == Method::CONNECT || method == Method::TRACE {
            return Err("the method is not supported");
        }
        let (service, path) = split_service(&uri)?;
        let key = take_key(&mut headers)?;
        let deadline = take_deadline(&mut headers)?;
        let idempotency = take_idempotency(&mut headers)?;
        let repeat = headers.get(&ATTEMPT).is_none_or(|v| v != FIRST_ATTEMPT);
        strip(&mut headers);
        if let Some(key) = &key {
            check_key_only_in_header(key.as_bytes(), &path, &headers, idempotency.as_deref())?;
        }
        let digest = key.map(|k| digest(k.as_bytes()));
        Ok(Self {
            service,
            method,
            path,
            headers,
            digest,
            deadline,
            idempotency,
            repeat,
        })
    }
}

/// Returns the digest by which team records list an API key.
pub(crate) fn digest(key: &[u8]) -> KeyDigest {
    KeyDigest(Sha256::digest(key).into())
}

/// Removes the API key from the headers, in both of its forms, and returns it.
pub(crate) fn take_key(headers: &mut HeaderMap) -> Result<Option<HeaderValue>, &'static str> {
    let bearer = headers
        .remove(AUTHORIZATION)
        .map(|v| bearer(&v))
        .transpose()?;
    let own = headers.remove(KEY);
    let key = match (own, bearer) {
        (Some(a), Some(b)) if a != b => return Err("two different keys were given"),
        (Some(key), _) | (None, Some(key)) => key,
        (None, None) => return Ok(None),
    };
    if !(KEY_MIN_BYTES..=KEY_MAX_BYTES).contains(&key.len()) {
        return Err("the key must have 8 to 512 bytes");
    }
    Ok(Some(key))
}

fn bearer(value: &HeaderValue) -> Result<HeaderValue, &'static str> {
    let token = value
        .as_bytes()
        .strip_prefix(b"Bearer ")
        .ok_or("only Bearer authorization is known")?;
    HeaderValue::from_bytes(token.trim_ascii()).map_err(|_| "the key is malformed")
}

fn split_service(uri: &Uri) -> Result<(ServiceId, String), &'static str> {
    let rest = uri
        .path()
        .strip_prefix(SERVICE_PREFIX)
        .ok_or("the path must start with /svc/SERVICE/")?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = service
        .parse()
        .map_err(|_| "the service name is malformed")?;
    let path = match uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Ok((service, path))
}

fn take_deadline(headers: &mut HeaderMap) -> Result<Option<Duration>, &'static str> {
    let Some(value) = headers.remove(DEADLINE) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|s| s.parse().ok());
    millis
        .map(Duration::from_millis)
        .map(Some)
        .ok_or("the deadline must be whole milliseconds")
}

fn take_idempotency(headers: &mut HeaderMap) -> Result<Option<String>, &'static str> {
    const MESSAGE: &str = "the idempotency key must be 1 to 128 visible characters";
    let mut values = headers.get_all(&IDEMPOTENCY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err("two idempotency keys were given");
    }
    let text = value.to_str().map_err(|_| MESSAGE)?;
    let visible = text.bytes().all(|b| b.is_ascii_graphic());
    if text.is_empty() || text.len() > IDEMPOTENCY_MAX_BYTES || !visible {
        return Err(MESSAGE);
    }
    let text = text.to_owned();
    headers.remove(&IDEMPOTENCY);
    Ok(Some(text))
}

/// Removes hop-by-hop headers and the headers of this system.
fn strip(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|n| n.as_str().starts_with(SYSTEM_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Removes hop-by-hop headers.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

fn check_key_only_in_header(
    key: &[u8],
    path: &str,
    headers: &HeaderMap,
    idempotency: Option<&str>,
) -> Result<(), &'static str> {
    let contains_key = |text: &[u8]| text.windows(key.len()).any(|w| w == key);
    let misplaced = contains_key(path.as_bytes())
        || headers
            .iter()
            .any(|(n, v)| contains_key(v.as_bytes()) || contains_key(n.as_str().as_bytes()))
        || idempotency.is_some_and(|i| contains_key(i.as_bytes()));
    if misplaced {
        Err("the key stands outside its header")
    } else {
        Ok(())
    }
}
