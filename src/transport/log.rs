//! The HTTP client of the platform's log; see docs/LOG.md.

use std::sync::Arc;

use ::http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;

use crate::{
    coordination::{
        Error,
        interface::{Append, Log, Read},
    },
    id::Name,
    protocol::{
        self,
        log::{Appended, Batch},
        wire,
    },
    settings::Settings,
    transport::{http, peers::classify},
    unit::Span,
};

/// The maximum number of records in one read.
const MAX_RECORDS: usize = 500;

/// Returns the functions that read from the log and append to it.
///
/// # Errors
///
/// Returns an error if the HTTP client can't be built.
pub fn link(settings: &Settings) -> Result<Log, super::Error> {
    let client = http::bound_client(settings).build()?;
    let settings = &settings.log;
    let base = settings.url.trim_end_matches('/').to_owned();
    let timeout = settings.timeout;
    Ok(Log {
        read: read(client.clone(), base.clone(), timeout),
        append: append(client, base, timeout),
    })
}

fn read(client: reqwest::Client, base: String, timeout: Span) -> Read {
    Arc::new(move |stream: Name, from: u64, wait: Span| {
        let client = client.clone();
        let wait_ms = wait.as_millis();
        let url = format!(
            "{base}/streams/{stream}/records?from={from}&limit={MAX_RECORDS}&wait_ms={wait_ms}"
        );
        let max_wait = timeout.duration() + wait.duration();
        async move {
            let sent = client.get(&url).timeout(max_wait).send().await;
            let response = sent.map_err(|error| classify(&error, "the log"))?;
            // Status 410 means that the records at `from` have expired. The body gives
            // the offsets that the log still has.
            let has_batch = response.status().is_success() || response.status() == StatusCode::GONE;
            if !has_batch || http::check_response(&Method::GET, &response).is_err() {
                return Err(Error::Unexpected("the log".into()));
            }
            let body = response
                .bytes()
                .await
                .map_err(|error| classify(&error, "the log"))?;
            Ok(wire::decode::<Batch>(&body)?)
        }
        .boxed()
    })
}

fn append(client: reqwest::Client, base: String, timeout: Span) -> Append {
    Arc::new(move |stream: Name, record: Bytes| {
        let client = client.clone();
        let url = format!("{base}/streams/{stream}/records");
        async move {
            let sent = client
                .post(&url)
                .timeout(timeout.duration())
                .body(record)
                .send()
                .await;
            let response = sent.map_err(|error| classify(&error, "the log"))?;
            if http::check_response(&Method::POST, &response).is_err() {
                return Err(Error::NoAnswer("the log".into()));
            }
            match response.status() {
                status if status.is_success() => {}
                // With these statuses the log reports that it did not append the record.
                StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::PAYLOAD_TOO_LARGE => {
                    return Err(Error::Unreachable("the log refused the record and".into()));
                }
                _ => return Err(Error::NoAnswer("the log".into())),
            }
            let body = response
                .bytes()
                .await
                .map_err(|error| classify(&error, "the log"))?;
            let appended: Appended = serde_json::from_slice(&body)
                .map_err(|source| protocol::Error::new("append answer", source))?;
            Ok(appended.offset)
        }
        .boxed()
    })
}
