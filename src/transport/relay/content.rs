//! What a target sees of a request, to be told from other requests.

use hyper::http::request;

use crate::{
    state::fingerprint::Fingerprint,
    transport::{http, relay::body::Body},
};

/// The content of one request, but for its head.
///
/// Its body is digested while it is at hand, so that nothing of it is kept until the
/// answer; of a body that passes in pieces only the length counts.
#[derive(Clone, Copy, Debug)]
pub struct Content {
    body: Option<Fingerprint>,
}

impl Content {
    /// Returns the content of a request with this body.
    pub fn of(body: &Body) -> Self {
        Self {
            body: body.known().map(|bytes| Fingerprint::of(&[bytes])),
        }
    }

    /// Returns its fingerprint, with its head.
    pub fn fingerprint(&self, head: &request::Parts) -> Fingerprint {
        let header = |name: &str| {
            http::get(&head.headers, name)
                .unwrap_or_default()
                .as_bytes()
        };
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let body = match self.body {
            Some(body) => body.to_string(),
            None => http::get(&head.headers, "content-length")
                .unwrap_or("in pieces")
                .into(),
        };
        Fingerprint::of(&[
            head.method.as_str().as_bytes(),
            header("host"),
            path.as_bytes(),
            body.as_bytes(),
        ])
    }
}
