//! Quantities with units: spans of time, sizes, percentages, rates.
//!
//! In settings and resources they are text with a unit (`"250ms"`, `"64KiB"`,
//! `"10%"`). A bare number is rejected, so none is read in the wrong unit.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// The error for a text that is not a quantity of the expected kind.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not a {kind}, for example `{example}`")]
pub struct Error {
    kind: &'static str,
    example: &'static str,
    text: String,
}

/// Units of [`Span`] with their milliseconds, in ascending order.
const SPAN_UNITS: [(&str, u64); 5] = [
    ("ms", 1),
    ("s", 1_000),
    ("min", 60_000),
    ("h", 3_600_000),
    ("d", 86_400_000),
];
/// Units of [`Size`] with their bytes, in ascending order.
const SIZE_UNITS: [(&str, u64); 4] = [
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

/// Returns the value of a whole number with a unit, as in `250ms`.
fn parse_scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digit_count = text.bytes().take_while(u8::is_ascii_digit).count();
    let number: u64 = text[..digit_count].parse().ok()?;
    let (_, factor) = units
        .iter()
        .find(|(unit, _)| *unit == &text[digit_count..])?;
    number.checked_mul(*factor)
}

/// Writes `value` as a whole number of the largest unit that divides it.
fn write_scaled(f: &mut fmt::Formatter<'_>, value: u64, units: &[(&str, u64)]) -> fmt::Result {
    let largest = units
        .iter()
        .rev()
        .find(|(_, factor)| value != 0 && value.is_multiple_of(*factor));
    let (unit, factor) = largest.unwrap_or(&units[0]);
    write!(f, "{}{unit}", value / factor)
}

macro_rules! quantity {
    ($(#[$doc:meta])* $type:ident, $raw:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $type($raw);

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(value: $type) -> Self {
                value.to_string()
            }
        }
    };
}

quantity!(
    /// A span of time, in whole milliseconds.
    Span,
    u64
);

impl Span {
    /// Returns a span of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns a span of `seconds` seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000)
    }

    /// Returns the number of milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the span as a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns `duration` in whole milliseconds, rounded down.
    pub fn from_duration(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_scaled(f, self.0, &SPAN_UNITS)
    }
}

/// Returns the milliseconds of a span with a decimal fraction, as in `2.5s`,
/// rounded down.
fn parse_decimal_span(text: &str) -> Option<u64> {
    let (whole, rest) = text.split_once('.')?;
    let digit_count = rest.bytes().take_while(u8::is_ascii_digit).count();
    let (fraction, unit) = rest.split_at(digit_count);
    let (_, factor) = SPAN_UNITS.iter().find(|(name, _)| *name == unit)?;
    let whole: u64 = whole.parse().ok()?;
    let divisor = 10_u64.checked_pow(u32::try_from(digit_count).ok()?)?;
    let fraction = fraction.parse::<u64>().ok()?.checked_mul(*factor)? / divisor;
    whole.checked_mul(*factor)?.checked_add(fraction)
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        parse_scaled(text, &SPAN_UNITS)
            .or_else(|| parse_decimal_span(text))
            .map(Self)
            .ok_or_else(|| Error {
                kind: "span of time",
                example: "250ms",
                text: text.into(),
            })
    }
}

quantity!(
    /// A size in bytes.
    Size,
    u64
);

impl Size {
    /// Returns a size of `bytes` bytes.
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    pub const fn as_bytes(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_scaled(f, self.0, &SIZE_UNITS)
    }
}

impl FromStr for Size {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        parse_scaled(text, &SIZE_UNITS)
            .map(Self)
            .ok_or_else(|| Error {
                kind: "size",
                example: "64KiB",
                text: text.into(),
            })
    }
}

quantity!(
    /// A percentage from 0% to 100%.
    Percent,
    u8
);

impl Percent {
    /// Returns `percent`, capped at 100%.
    pub const fn new(percent: u8) -> Self {
        Self(if percent > 100 { 100 } else { percent })
    }

    /// Returns the percentage as a fraction, 0.0 to 1.0.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        parse_scaled(text, &[("%", 1)])
            .and_then(|number| u8::try_from(number).ok())
            .filter(|number| *number <= 100)
            .map(Self)
            .ok_or_else(|| Error {
                kind: "percentage",
                example: "10%",
                text: text.into(),
            })
    }
}

/// A rate, in events per second, with three decimals.
///
/// ```
/// use rilltrack::unit::Rate;
///
/// let rate: Rate = "14.5/s".parse()?;
/// assert_eq!(rate.per_second(), 14.5);
/// assert_eq!(rate.to_string(), "14.5/s");
/// # Ok::<(), rilltrack::unit::Error>(())
/// ```
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Rate {
    per_1000_seconds: u64,
}

impl Rate {
    /// Returns the rate of `per_second` events per second; `None` if that is negative or not a
    /// finite number.
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then(|| Self {
            per_1000_seconds: (per_second * 1000.0).round() as u64,
        })
    }

    /// Returns the number of events per second.
    pub fn per_second(self) -> f64 {
        self.per_1000_seconds as f64 / 1000.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number = text
            .strip_suffix("/s")
            .and_then(|number| number.parse().ok());
        number.and_then(Self::from_per_second).ok_or_else(|| Error {
            kind: "rate",
            example: "14.5/s",
            text: text.into(),
        })
    }
}

impl TryFrom<String> for Rate {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Rate> for String {
    fn from(rate: Rate) -> Self {
        rate.to_string()
    }
}
