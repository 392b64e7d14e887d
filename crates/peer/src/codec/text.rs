//! Fields that stand as text, numbers or bytes on the wire.

use std::str::FromStr;
use std::time::Duration;

use capnp::{text, text_list};
use wagtail_types::ParseError;

use super::Malformed;

/// A named thing from its text.
pub(crate) fn parse<T>(text: text::Reader<'_>) -> Result<T, Malformed>
where
    T: FromStr<Err = ParseError>,
{
    Ok(text.to_str()?.parse()?)
}

/// A named thing, or none where the text is empty.
pub(crate) fn parse_some<T>(text: text::Reader<'_>) -> Result<Option<T>, Malformed>
where
    T: FromStr<Err = ParseError>,
{
    if text.is_empty() {
        return Ok(None);
    }
    parse(text).map(Some)
}

/// Named things from their texts.
pub(crate) fn parse_all<T>(list: text_list::Reader<'_>) -> Result<Vec<T>, Malformed>
where
    T: FromStr<Err = ParseError>,
{
    list.iter().map(|text| parse(text?)).collect()
}

/// Whole microseconds of a time, rounded down.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Whole microseconds of a time, rounded up, so that no age ever shrinks on its way.
pub(crate) fn micros_up(time: Duration) -> u64 {
    const NANOS: u128 = 1_000;
    u64::try_from(time.as_nanos().div_ceil(NANOS)).unwrap_or(u64::MAX)
}

/// Microseconds that may be missing, as one more than their count; 0 stands for none.
pub(crate) fn some(micros: Option<u64>) -> u64 {
    micros.map_or(0, |micros| micros.saturating_add(1))
}

/// The reverse of [`some`].
pub(crate) fn time_some(number: u64) -> Option<Duration> {
    number.checked_sub(1).map(Duration::from_micros)
}

/// The length of a list.
pub(crate) fn count<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}
