//! Failure scenarios over real processes: the scripts are in tests/scenarios/, their
//! language is described in `support::scenario`.

mod support;

use std::path::Path;

/// Defines a test for each script, with the name of the script.
macro_rules! scenarios {
    ($($name:ident)*) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let script = include_str!(concat!("scenarios/", stringify!($name), ".scenario"));
                support::scenario::run(Path::new(env!("CARGO_BIN_EXE_rilltrackd")), script).await;
            }
        )*
    };
}

scenarios! {
    bad_among_good
    cut_domain
    herds
    keys_across_failures
    log_expired_and_empty
    log_outage
    log_went_back
    lost_append_answer
    narrowed
    retention
}
