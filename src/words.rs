//! Text forms of enumerations, as used in headers, keys and messages.

/// Implements `Display` and `FromStr` for an enumeration by a table of its variants' words.
///
/// `$unknown` makes the error for a text that is not in the table.
macro_rules! words {
    ($type:ident, $error:ty = $unknown:expr, $($variant:ident: $word:literal),* $(,)?) => {
        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(match self {
                    $(Self::$variant => $word,)*
                })
            }
        }

        impl std::str::FromStr for $type {
            type Err = $error;

            fn from_str(text: &str) -> Result<Self, $error> {
                match text {
                    $($word => Ok(Self::$variant),)*
                    other => Err($unknown(other.to_owned())),
                }
            }
        }
    };
}

pub(crate) use words;
