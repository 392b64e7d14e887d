//! Conversion of the heads of relayed requests and answers.

use capnp::struct_list;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use wagtail_types::{AttemptId, Verdict};

use super::Malformed;
use super::field::{
    decode_optional, encode_optional, list_len, micros, parse, parse_list, parse_optional,
};
use crate::message::{RelayHead, RelayRole};
use crate::peer_capnp::{answer_head, header, relay_head, relay_outcome, verdict};

const HEADER_OVERHEAD_BYTES: usize = 32;

/// Returns the approximate size of the headers on the wire.
pub(crate) fn headers_bytes(headers: &HeaderMap) -> usize {
    let size = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES
    };
    headers.iter().map(size).sum()
}

/// Returns the approximate size of the head on the wire.
pub(crate) fn head_bytes(head: &RelayHead) -> usize {
    let key = head.key.as_ref().map_or(0, String::len);
    head.path.len() + key + headers_bytes(&head.headers)
}

pub(crate) fn write_head(mut builder: relay_head::Builder<'_>, head: &RelayHead) {
    builder.set_attempt(&head.attempt.0.to_be_bytes());
    builder.set_step(match head.role {
        RelayRole::Owner => relay_head::Step::Owner,
        RelayRole::Issuer => relay_head::Step::Issuer,
    });
    builder.set_method(head.method.as_str());
    builder.set_path(&head.path);
    write_headers(
        builder.reborrow().init_headers(headers_len(&head.headers)),
        &head.headers,
    );
    builder.set_service(head.service.as_str());
    builder.set_team(head.team.as_ref().map_or("", |team| team.as_str()));
    builder.set_deadline(encode_optional(head.deadline.map(micros)));
    builder.set_idempotent(head.idempotent);
    builder.set_key(head.key.as_deref().unwrap_or_default());
    if let Some(fingerprint) = head.fingerprint {
        builder.set_print(&fingerprint.to_be_bytes());
    }
    let mut tried = builder.init_tried(list_len(&head.tried));
    for (index, zone) in (0..).zip(&head.tried) {
        tried.set(index, zone.as_str());
    }
}

pub(crate) fn read_head(reader: relay_head::Reader<'_>) -> Result<RelayHead, Malformed> {
    let attempt = reader.get_attempt()?.try_into();
    let attempt = attempt.map_err(|_| Malformed::Range("attempt"))?;
    let method = Method::from_bytes(reader.get_method()?.as_bytes());
    let key = reader.get_key()?.to_str()?;
    Ok(RelayHead {
        attempt: AttemptId(u128::from_be_bytes(attempt)),
        role: match reader.get_step()? {
            relay_head::Step::Owner => RelayRole::Owner,
            relay_head::Step::Issuer => RelayRole::Issuer,
        },
        method: method.map_err(|_| Malformed::Range("method"))?,
        path: reader.get_path()?.to_str()?.to_owned(),
        headers: read_headers(reader.get_headers()?)?,
        service: parse(reader.get_service()?)?,
        team: parse_optional(reader.get_team()?)?,
        deadline: decode_optional(reader.get_deadline()),
        idempotent: reader.get_idempotent(),
        key: (!key.is_empty()).then(|| key.to_owned()),
        fingerprint: read_fingerprint(reader.get_print()?)?,
        tried: parse_list(reader.get_tried()?)?,
    })
}

fn read_fingerprint(bytes: &[u8]) -> Result<Option<u128>, Malformed> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let fingerprint = bytes.try_into().map_err(|_| Malformed::Range("print"))?;
    Ok(Some(u128::from_be_bytes(fingerprint)))
}

pub(crate) fn write_answer(
    mut builder: answer_head::Builder<'_>,
    status: StatusCode,
    headers: &HeaderMap,
) {
    builder.set_status(status.as_u16());
    write_headers(builder.init_headers(headers_len(headers)), headers);
}

/// The status and headers of an answer, or the verdict if there is no answer.
pub(crate) type Outcome = Result<(StatusCode, HeaderMap), Verdict>;

pub(crate) fn read_outcome(reader: relay_outcome::Reader<'_>) -> Result<Outcome, Malformed> {
    match reader.which()? {
        relay_outcome::Answer(answer) => {
            let answer = answer?;
            let status = StatusCode::from_u16(answer.get_status());
            let status = status.map_err(|_| Malformed::Range("status"))?;
            Ok(Ok((status, read_headers(answer.get_headers()?)?)))
        }
        relay_outcome::Verdict(verdict) => Ok(Err(read_verdict(verdict?)?)),
    }
}

pub(crate) fn write_verdict(mut builder: verdict::Builder<'_>, verdict: &Verdict) {
    match verdict {
        Verdict::NotRun { reason, retry } => {
            builder.set_not_run(reason.as_str());
            builder.set_retry(encode_optional(retry.map(micros)));
        }
        Verdict::MayHaveRun { cause } => builder.set_may_have_run(cause.as_str()),
    }
}

pub(crate) fn read_verdict(reader: verdict::Reader<'_>) -> Result<Verdict, Malformed> {
    Ok(match reader.which()? {
        verdict::NotRun(reason) => Verdict::NotRun {
            reason: parse(reason?)?,
            retry: decode_optional(reader.get_retry()),
        },
        verdict::MayHaveRun(cause) => Verdict::MayHaveRun {
            cause: parse(cause?)?,
        },
    })
}

fn headers_len(headers: &HeaderMap) -> u32 {
    u32::try_from(headers.len()).unwrap_or(u32::MAX)
}

type Headers = header::Owned;

fn write_headers(mut list: struct_list::Builder<'_, Headers>, headers: &HeaderMap) {
    for (index, (name, value)) in (0..).zip(headers) {
        let mut header = list.reborrow().get(index);
        header.set_name(name.as_str());
        header.set_value(value.as_bytes());
    }
}

fn read_headers(list: struct_list::Reader<'_, Headers>) -> Result<HeaderMap, Malformed> {
    let mut headers = HeaderMap::with_capacity(list.len() as usize);
    for header in list {
        let name = HeaderName::from_bytes(header.get_name()?.as_bytes());
        let value = HeaderValue::from_bytes(header.get_value()?);
        headers
            .try_append(
                name.map_err(|_| Malformed::Range("header name"))?,
                value.map_err(|_| Malformed::Range("header value"))?,
            )
            .map_err(|_| Malformed::Range("header count"))?;
    }
    Ok(headers)
}
