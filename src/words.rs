//! Enumerations that are written as words, in headers, keys and messages.

/// Gives an enumeration `Display` and `FromStr` by one table of words.
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
                    unknown => Err($unknown(unknown.to_owned())),
                }
            }
        }
    };
}

pub(crate) use words;
