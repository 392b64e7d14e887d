//! Conversion of single fields.

use std::str::FromStr;
use std::time::Duration;

use capnp::{text, text_list};
use wagtail_types::ParseError;

use super::Malformed;

/// Parses a name.
pub(crate) fn parse<T>(text: text::Reader<'_>) -> Result<T, Malformed>
where
    T: FromStr<Err = ParseError>,
{
    Ok(text.to_str()?.parse()?)
}

/// Parses a name; an empty text stands for `None`.
pub(crate) fn parse_optional<T>(text: text::Reader<'_>) -> Result<Option<T>, Malformed>
where
    T: FromStr<Err = ParseError>,
{
    if text.is_empty() {
        return Ok(None);
    }
    parse(text).map(Some)
}

/// Parses a list of names.
pub(crate) fn parse_list<T>(list: text_list::Reader<'_>) -> Result<Vec<T>, Malformed>
where
    T: FromStr<Err = ParseError>,
{
    list.iter().map(|text| parse(text?)).collect()
}

/// Returns the whole microseconds of a duration, rounded down.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the whole microseconds of a duration, rounded up. Ages are rounded up so that information
/// never seems newer to the receiver than it is.
pub(crate) fn micros_ceil(duration: Duration) -> u64 {
    const NANOS_PER_MICRO: u128 = 1_000;
    u64::try_from(duration.as_nanos().div_ceil(NANOS_PER_MICRO)).unwrap_or(u64::MAX)
}

/// Encodes optional microseconds as their number plus 1; 0 stands for `None`.
pub(crate) fn encode_optional(micros: Option<u64>) -> u64 {
    micros.map_or(0, |micros| micros.saturating_add(1))
}

/// Decodes what [`encode_optional`] encoded.
pub(crate) fn decode_optional(encoded: u64) -> Option<Duration> {
    encoded.checked_sub(1).map(Duration::from_micros)
}

/// Returns the length of a list as the wire format counts it.
pub(crate) fn list_len<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}
