//! What a target states in its responses about the requests that it takes.
//!
//! A statement of a limit or a leave restricts what may be sent to the target. One that can't be
//! understood counts as the strictest of its kind, never as absent. A slowness restricts nothing
//! by itself, and counts as absent if it can't be understood.

use http::{HeaderMap, HeaderName, HeaderValue};

use crate::{
    protocol::dialect::{Dialect, Slowness},
    unit::Rate,
};

/// The position of the slowness in the load header, after running, waiting and slots.
const SLOWNESS_POSITION: usize = 3;

/// What one response of a target states.
///
/// # Example
///
/// ```
/// use http::HeaderMap;
/// use rilltrack::protocol::{dialect::Dialect, notice::Notice};
///
/// let dialect = Dialect::default();
/// let mut headers = HeaderMap::new();
/// assert_eq!(Notice::of(&headers, &dialect), Notice::default());
///
/// headers.insert(&dialect.limit, "45.9".parse()?);
/// let limit = Notice::of(&headers, &dialect).limit.unwrap();
/// assert_eq!(limit.per_second(), 45.9);
///
/// // An unreadable limit is the strictest one.
/// headers.insert(&dialect.limit, "plenty".parse()?);
/// let limit = Notice::of(&headers, &dialect).limit.unwrap();
/// assert_eq!(limit.per_second(), 0.0);
/// # Ok::<(), http::header::InvalidHeaderValue>(())
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// The requests per second that the target takes from all nodes together; `None` if it
    /// states no limit.
    pub limit: Option<Rate>,
    /// Whether the target is about to leave.
    pub is_leaving: bool,
    /// How long work currently takes on the target's machine; `None` if it doesn't state that.
    pub slowness: Option<Slowness>,
}

impl Notice {
    /// Returns what a response with these headers states.
    ///
    /// Of several limits, the lowest counts. Any statement of a leave other than `0` is one.
    pub fn of(headers: &HeaderMap, dialect: &Dialect) -> Self {
        let limits = values(headers, &dialect.limit);
        let mut leaves = values(headers, &dialect.leaving);
        Self {
            limit: limits.map(parse_limit).min(),
            is_leaving: leaves.any(|value| value != "0"),
            slowness: parse_slowness(headers.get(&dialect.load)),
        }
    }
}

/// Returns the elements of all headers of a name; empty for one that isn't text.
fn values<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a str> {
    let lines = headers.get_all(name).into_iter();
    lines
        .map(|value| value.to_str().unwrap_or_default())
        .flat_map(|line| line.split(','))
        .map(str::trim)
}

/// Returns a limit in requests per second; 0 if it can't be understood.
fn parse_limit(text: &str) -> Rate {
    let rate = text.parse().ok().and_then(Rate::from_per_second);
    rate.unwrap_or_default()
}

/// Returns the slowness in a load header, whether or not its other figures can be understood.
fn parse_slowness(load: Option<&HeaderValue>) -> Option<Slowness> {
    let mut figures = load?.to_str().ok()?.split(',');
    figures.nth(SLOWNESS_POSITION)?.trim().parse().ok()
}
