//! What a target sees of a request, to be told from other requests.

use hyper::http::request;

use crate::{state::fingerprint::Fingerprint, transport::http};

/// Returns the fingerprint of a request with this head and body; of a body that passes in
/// pieces only the length counts.
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
