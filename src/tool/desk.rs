//! The tool's side of a daemon's operators address.

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

/// How long a daemon may take; it waits for the log in turn.
const PATIENCE: Duration = Duration::from_secs(20);

/// Times a change whose answer got lost is sent again.
const REPEATS: usize = 3;

/// The daemons that may be asked, tried in turn.
pub struct Desk {
    client: reqwest::Client,
    daemons: Vec<SocketAddr>,
    scheme: &'static str,
    /// Whether answers are wanted in JSON.
    pub json: bool,
}

impl Desk {
    /// Returns a desk for the daemons named on the command line, or in
    /// `RILLTRACK_DAEMON`.
    pub fn new(
        mut daemons: Vec<SocketAddr>,
        security: &Security,
        json: bool,
    ) -> Result<Self, Failure> {
        if daemons.is_empty() {
            let named = std::env::var("RILLTRACK_DAEMON").unwrap_or_default();
            daemons = named
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

    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.ask(|base| self.client.get(format!("{base}/{path}")))
            .await
    }

    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(body).expect("plain data always encodes");
        self.ask(|base| {
            self.client
                .post(format!("{base}/{path}"))
                .body(body.clone())
        })
        .await
    }

    pub async fn status(&self) -> Result<Report, Failure> {
        self.get("status").await
    }

    /// Publishes a change. Sending it again is safe: it is one change, by its
    /// id, however often it gets to the log.
    pub async fn publish(&self, change: &Change) -> Result<Published, Failure> {
        let mut last = Published::Unknown("no daemon answered".into());
        for _ in 0..REPEATS {
            match self.post("changes", change).await {
                Ok(Published::Unknown(what)) => last = Published::Unknown(what),
                Ok(published) => return Ok(published),
                Err(failure) if failure.code == Code::Unknown => {}
                Err(failure) => return Err(failure),
            }
        }
        Ok(last)
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        request: impl Fn(String) -> reqwest::RequestBuilder,
    ) -> Result<T, Failure> {
        let mut last = Failure::new(Code::Unreachable, "no daemon given");
        for daemon in &self.daemons {
            let sent = request(format!("{}://{daemon}", self.scheme))
                .timeout(PATIENCE)
                .send()
                .await;
            let response = match sent {
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
            let lost = |_| Failure::new(Code::Unknown, format!("{daemon} broke off"));
            let body = response.bytes().await.map_err(lost)?;
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
