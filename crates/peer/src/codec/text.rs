//! Fields that stand as text, numbers or bytes on the wire.

use std::str::FromStr;
use std::time::Duration;

use capnp::text;
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

/// Whole microseconds of a time.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Whole microseconds of a time that may be missing; 0 stands for none.
pub(crate) fn micros_some(time: Option<Duration>) -> u64 {
    time.map_or(0, |time| micros(time).max(1))
}

/// The reverse of [`micros_some`].
pub(crate) fn time_some(micros: u64) -> Option<Duration> {
    (micros > 0).then(|| Duration::from_micros(micros))
}

/// The length of a list.
pub(crate) fn count<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}
