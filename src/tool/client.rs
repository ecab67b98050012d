//! The client for a daemon's operators interface.

use std::{net::SocketAddr, time::Duration};

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    logging,
    protocol::operator::{Published, Report},
    settings::Security,
    state::change::Change,
    tool::{Code, Failure},
    transport::{http, tls},
};

/// Maximum time for a daemon's response. The daemon itself may have to wait for the log.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of attempts to publish a change while its outcome is unknown.
const PUBLISH_ATTEMPTS: usize = 3;

/// Sends requests to the first reachable one of several daemons.
pub struct DaemonClient {
    client: reqwest::Client,
    daemons: Vec<SocketAddr>,
    scheme: &'static str,
    /// Whether results are printed as JSON.
    pub json: bool,
}

impl DaemonClient {
    /// Returns a client for `daemons`, or if there are none, for the daemons listed in the
    /// environment variable `RILLTRACK_DAEMON`, separated by commas.
    pub fn new(
        mut daemons: Vec<SocketAddr>,
        security: &Security,
        json: bool,
    ) -> Result<Self, Failure> {
        if daemons.is_empty() {
            let listed = std::env::var("RILLTRACK_DAEMON").unwrap_or_default();
            daemons = listed
                .split(',')
                .filter_map(|text| text.trim().parse().ok())
                .collect();
        }
        if daemons.is_empty() {
            return Err(Failure::new(
                Code::Usage,
                "no daemon given: use --daemon or RILLTRACK_DAEMON",
            ));
        }
        let client = tls::proven(http::client(), security)
            .map_err(|error| Failure::new(Code::Usage, logging::chain(&error)))?;
        Ok(Self {
            client,
            daemons,
            scheme: tls::scheme(security),
            json,
        })
    }

    /// Returns the decoded response to a GET request.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.send(|base| self.client.get(format!("{base}/{path}")))
            .await
    }

    /// Returns the decoded response to a POST request with `body` as JSON.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(body).expect("a request body always encodes as JSON");
        self.send(|base| {
            self.client
                .post(format!("{base}/{path}"))
                .body(body.clone())
        })
        .await
    }

    /// Returns the state of the mesh as the daemon knows it.
    pub async fn status(&self) -> Result<Report, Failure> {
        self.get("status").await
    }

    /// Publishes a change and retries it while its outcome is unknown. Retries are
    /// idempotent: however often the change is appended to the log, its id identifies it and
    /// it is applied once.
    pub async fn publish(&self, change: &Change) -> Result<Published, Failure> {
        let mut last = Published::Unknown("no daemon answered".into());
        for _ in 0..PUBLISH_ATTEMPTS {
            match self.post("changes", change).await {
                Ok(Published::Unknown(reason)) => last = Published::Unknown(reason),
                Ok(published) => return Ok(published),
                Err(failure) if failure.code == Code::Unknown => {}
                Err(failure) => return Err(failure),
            }
        }
        Ok(last)
    }

    /// Sends the request to each daemon in turn until one accepts the connection, and returns
    /// its decoded response.
    async fn send<T: DeserializeOwned>(
        &self,
        request: impl Fn(String) -> reqwest::RequestBuilder,
    ) -> Result<T, Failure> {
        let mut last = Failure::new(Code::Unreachable, "no daemon given");
        for daemon in &self.daemons {
            let result = request(format!("{}://{daemon}", self.scheme))
                .timeout(REQUEST_TIMEOUT)
                .send()
                .await;
            let response = match result {
                Ok(response) => response,
                Err(error) if error.is_connect() => {
                    last = Failure::new(Code::Unreachable, format!("{daemon} can't be reached"));
                    continue;
                }
                Err(_) => {
                    return Err(Failure::new(
                        Code::Unknown,
                        format!("{daemon} did not answer"),
                    ));
                }
            };
            let status = response.status();
            let incomplete = |_| {
                Failure::new(
                    Code::Unknown,
                    format!("{daemon} sent an incomplete response"),
                )
            };
            let body = response.bytes().await.map_err(incomplete)?;
            if !status.is_success() {
                return Err(Failure::new(
                    Code::Rejected,
                    String::from_utf8_lossy(&body).trim().to_owned(),
                ));
            }
            return serde_json::from_slice(&body)
                .map_err(|error| Failure::new(Code::Unknown, format!("{daemon}: {error}")));
        }
        Err(last)
    }
}
