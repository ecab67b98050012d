//! Fingerprints that distinguish requests by what a target sees of them.

use hyper::http::request;

use crate::{state::fingerprint::Fingerprint, transport::http};

/// Returns the fingerprint of a request with this head and body.
///
/// `body` is `None` if the body is streamed; then only its length counts.
pub fn fingerprint(head: &request::Parts, body: Option<&[u8]>) -> Fingerprint {
    let header = |name| {
        http::get(&head.headers, name)
            .unwrap_or_default()
            .as_bytes()
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let body = body.unwrap_or_else(|| header("content-length"));
    Fingerprint::of(&[
        head.method.as_str().as_bytes(),
        header("host"),
        path.as_bytes(),
        body,
    ])
}
