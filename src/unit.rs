//! Quantities with their units: spans of time, sizes, shares.
//!
//! Settings and resources write them as text (`"250ms"`, `"64KiB"`, `"10%"`),
//! so a bare number can never be read in the wrong unit.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// A text that is not a quantity of the wanted unit.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not a {what}, for example `{example}`")]
pub struct Error {
    what: &'static str,
    example: &'static str,
    text: String,
}

const SPAN_UNITS: [(&str, u64); 5] = [
    ("ms", 1),
    ("s", 1_000),
    ("min", 60_000),
    ("h", 3_600_000),
    ("d", 86_400_000),
];
const SIZE_UNITS: [(&str, u64); 4] = [
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

/// Splits `text` into its digits and unit and returns the scaled number.
fn scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let number: u64 = text[..digits].parse().ok()?;
    let (_, factor) = units.iter().find(|(unit, _)| *unit == &text[digits..])?;
    number.checked_mul(*factor)
}

/// Writes `value` in the largest unit that divides it.
fn write_scaled(f: &mut fmt::Formatter<'_>, value: u64, units: &[(&str, u64)]) -> fmt::Result {
    let best = units
        .iter()
        .rev()
        .find(|(_, factor)| value != 0 && value.is_multiple_of(*factor));
    let (unit, factor) = best.unwrap_or(&units[0]);
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

    /// Returns the span for the standard library's clocks and timers.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the whole milliseconds of a duration.
    pub fn of(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_scaled(f, self.0, &SPAN_UNITS)
    }
}

/// Reads a span with a fraction, as in `2.5s`; what is below a millisecond is
/// cut off.
fn fraction(text: &str) -> Option<u64> {
    let (whole, rest) = text.split_once('.')?;
    let digits = rest.bytes().take_while(u8::is_ascii_digit).count();
    let (fraction, unit) = rest.split_at(digits);
    let (_, factor) = SPAN_UNITS.iter().find(|(name, _)| *name == unit)?;
    let whole: u64 = whole.parse().ok()?;
    let ten = 10_u64.checked_pow(u32::try_from(digits).ok()?)?;
    let part = fraction.parse::<u64>().ok()?.checked_mul(*factor)? / ten;
    whole.checked_mul(*factor)?.checked_add(part)
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        scaled(text, &SPAN_UNITS)
            .or_else(|| fraction(text))
            .map(Self)
            .ok_or_else(|| Error {
                what: "span of time",
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
        scaled(text, &SIZE_UNITS).map(Self).ok_or_else(|| Error {
            what: "size",
            example: "64KiB",
            text: text.into(),
        })
    }
}

quantity!(
    /// A share of a whole, 0% to 100%.
    Percent,
    u8
);

impl Percent {
    /// Returns a share of `percent` hundredths, at most the whole.
    pub const fn new(percent: u8) -> Self {
        Self(if percent > 100 { 100 } else { percent })
    }

    /// Returns the share as a fraction of one.
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
        scaled(text, &[("%", 1)])
            .and_then(|n| u8::try_from(n).ok())
            .filter(|n| *n <= 100)
            .map(Self)
            .ok_or_else(|| Error {
                what: "percentage",
                example: "10%",
                text: text.into(),
            })
    }
}
