//! What targets state in the headers of their responses.

use http::{HeaderMap, HeaderName, HeaderValue};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use rilltrack::protocol::{dialect::Dialect, notice::Notice};

/// Returns the notice in headers given as lines; the part before the first space is `limit`,
/// `leaving` or `load`.
fn notice(lines: &[&str]) -> Notice {
    let dialect = Dialect::default();
    let mut headers = HeaderMap::new();
    for line in lines {
        let (kind, value) = line.split_once(' ').unwrap();
        let name: &HeaderName = match kind {
            "limit" => &dialect.limit,
            "leaving" => &dialect.leaving,
            "load" => &dialect.load,
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

/// Each case: the load header, and the ratio of the current time to the usual one that it states.
macro_rules! slowness_cases {
    ($($name:ident: [$($line:literal),*] => $factor:expr;)*) => {
        $(#[test] fn $name() {
            let notice = notice(&[$($line),*]);
            let factor: Option<f64> = $factor;
            assert_eq!(notice.slowness.map(|slowness| slowness.factor()), factor);
            // Whatever the load header says, it restricts nothing.
            assert_eq!((notice.limit, notice.is_leaving), (None, false));
        })*
    };
}

slowness_cases! {
    fourth_figure_is_the_slowness: ["load 3,0,9,250"] => Some(2.5);
    spaces_around_the_figure_are_ignored: ["load 3, 0, 9, 90 "] => Some(0.9);
    three_figures_state_no_slowness: ["load 3,0,9"] => None;
    figures_after_the_fourth_are_ignored: ["load 3,0,9,250,7"] => Some(2.5);
    other_figures_need_not_be_readable: ["load ?,,x,250"] => Some(2.5);
    figure_above_the_bounds_counts_as_the_bound: ["load 3,0,9,100000"] => Some(8.0);
    figure_below_the_bounds_counts_as_the_bound: ["load 3,0,9,1"] => Some(0.2);
    zero_is_not_a_slowness: ["load 3,0,9,0"] => None;
    negative_figure_is_not_stated: ["load 3,0,9,-250"] => None;
    word_is_not_stated: ["load 3,0,9,slow"] => None;
    empty_figure_is_not_stated: ["load 3,0,9,"] => None;
    fraction_of_a_hundredth_is_not_stated: ["load 3,0,9,250.5"] => None;
    figure_too_long_for_a_number_counts_as_the_highest: ["load 3,0,9,99999999999999999999"] => Some(8.0);
    empty_header_states_nothing: ["load  "] => None;
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

    /// No value of the load header makes a node fail, restricts, or states a slowness out of bounds.
    #[test]
    fn no_value_of_the_load_header_restricts(bytes in vec(0x20u8..=0xff, 0..16), figure in any::<u64>()) {
        let dialect = Dialect::default();
        let figure = format!("1,0,4,{figure}").into_bytes();
        for bytes in [bytes, figure] {
            let mut headers = HeaderMap::new();
            headers.insert(&dialect.load, HeaderValue::from_bytes(&bytes).unwrap_or(HeaderValue::from_static("")));
            let Notice { limit, is_leaving, slowness } = Notice::of(&headers, &dialect);
            prop_assert_eq!((limit, is_leaving), (None, false));
            prop_assert!(slowness.is_none_or(|slowness| (0.2..=8.0).contains(&slowness.factor())));
        }
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
