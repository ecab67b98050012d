//! What targets state in the headers of their responses.

use http::{HeaderMap, HeaderName, HeaderValue};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use rilltrack::protocol::{dialect::Dialect, notice::Notice};

/// Returns the notice in headers given as lines; the part before the first space is `limit` or
/// `leaving`.
fn notice(lines: &[&str]) -> Notice {
    let dialect = Dialect::default();
    let mut headers = HeaderMap::new();
    for line in lines {
        let (kind, value) = line.split_once(' ').unwrap();
        let name: &HeaderName = match kind {
            "limit" => &dialect.limit,
            "leaving" => &dialect.leaving,
            other => panic!("no header {other}"),
        };
        headers.append(name, value.parse().unwrap());
    }
    Notice::of(&headers, &dialect)
}

/// Each case: what the headers state, as the limit in requests per second and whether the
/// target leaves.
macro_rules! cases {
    ($($name:ident: [$($line:literal),*] => $limit:expr, $is_leaving:literal;)*) => {
        $(#[test] fn $name() {
            let notice = notice(&[$($line),*]);
            let limit: Option<f64> = $limit;
            assert_eq!(notice.limit.map(|limit| limit.per_second()), limit);
            assert_eq!(notice.is_leaving, $is_leaving);
        })*
    };
}

cases! {
    no_header_states_nothing: [] => None, false;
    limit_may_be_a_fraction: ["limit 0.25"] => Some(0.25), false;
    limit_may_be_zero: ["limit 0"] => Some(0.0), false;
    lowest_of_two_limit_headers_counts: ["limit 45.9", "limit 12"] => Some(12.0), false;
    lowest_of_two_limits_in_a_header_counts: ["limit 45.9, 50"] => Some(45.9), false;
    unreadable_limit_is_the_strictest: ["limit plenty"] => Some(0.0), false;
    unreadable_limit_beside_a_readable_one_counts: ["limit 45.9", "limit ?"] => Some(0.0), false;
    empty_limit_is_the_strictest: ["limit  "] => Some(0.0), false;
    negative_limit_is_the_strictest: ["limit -3"] => Some(0.0), false;
    infinite_limit_is_the_strictest: ["limit inf"] => Some(0.0), false;
    limit_that_is_no_number_is_the_strictest: ["limit NaN"] => Some(0.0), false;
    one_is_a_leave: ["leaving 1"] => None, true;
    zero_is_no_leave: ["leaving 0"] => None, false;
    unknown_word_is_a_leave: ["leaving soon"] => None, true;
    leave_beside_a_denial_counts: ["leaving 0", "leaving 1"] => None, true;
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(52), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever a header says, it restricts: it has a limit, and none above the lowest of the
    /// numbers in it.
    #[test]
    fn no_value_of_the_header_lifts_a_limit(values in vec("[ -~]{0,12}", 1..4), limit in 0.0..1e6f64) {
        let dialect = Dialect::default();
        let mut headers = HeaderMap::new();
        for value in &values {
            headers.append(&dialect.limit, HeaderValue::from_str(value).unwrap());
        }
        prop_assert!(Notice::of(&headers, &dialect).limit.is_some());
        headers.append(&dialect.limit, HeaderValue::from_str(&limit.to_string()).unwrap());
        let stated = Notice::of(&headers, &dialect).limit.unwrap();
        prop_assert!(stated.per_second() <= limit + 0.001);
    }

    /// Bytes that are no text are a limit and a leave, too.
    #[test]
    fn bytes_that_are_no_text_restrict(bytes in vec(0x80u8..=0xff, 1..8)) {
        let dialect = Dialect::default();
        let mut headers = HeaderMap::new();
        let value = HeaderValue::from_bytes(&bytes).unwrap();
        headers.insert(&dialect.limit, value.clone());
        headers.insert(&dialect.leaving, value);
        let notice = Notice::of(&headers, &dialect);
        prop_assert_eq!(notice.limit.map(|limit| limit.per_second()), Some(0.0));
        prop_assert!(notice.is_leaving);
    }
}
