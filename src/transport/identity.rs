//! Whether a node is who it says it is.
//!
//! Every request between nodes names the sender's node and failure domain.
//! Under TLS the sender's certificate must be for the DNS name
//! `NODE.DOMAIN`, so a node can claim neither another's name nor another
//! failure domain, which would change where it may send.

use rustls::pki_types::{CertificateDer, ServerName};
use salvo::Request;
use webpki::EndEntityCert;

use crate::{
    id::{Name, Node},
    protocol::answer,
    settings::Security,
    transport::http,
};

/// Who sent a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The node.
    pub node: Node,
    /// Its failure domain.
    pub domain: Name,
}

/// A sender that is not who it says it is.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// It does not say who it is.
    #[error("the sender does not say which node it is")]
    Unnamed,
    /// Its certificate is for another name.
    #[error("the sender's certificate is not for {0}")]
    Impostor(String),
}

/// Returns who sent `req`, as its certificate confirms where there is TLS.
///
/// # Errors
///
/// If the sender does not say so or is not who it says it is.
pub fn of(req: &Request, security: &Security) -> Result<Identity, Error> {
    let claimed = || {
        let node = http::parse(req.headers(), answer::NODE)?;
        let domain = http::parse(req.headers(), answer::DOMAIN)?;
        Some(Identity { node, domain })
    };
    let claimed = claimed().ok_or(Error::Unnamed)?;
    match security {
        Security::Plaintext => Ok(claimed),
        Security::Tls(_) if is_certified(req, &dns_name(&claimed)) => Ok(claimed),
        Security::Tls(_) => Err(Error::Impostor(dns_name(&claimed))),
    }
}

/// The DNS name that the certificate of an operator must be for.
pub const OPERATOR: &str = "operator.rilltrack.internal";

/// Returns whether `req` may do what operators do: under TLS its certificate
/// must be an operator's, so that no node, target or caller can publish.
pub fn is_operator(req: &Request, security: &Security) -> bool {
    matches!(security, Security::Plaintext) || is_certified(req, OPERATOR)
}

/// Returns the DNS name that the certificate of a node must be for.
pub fn dns_name(identity: &Identity) -> String {
    format!("{}.{}", identity.node, identity.domain)
}

/// Returns whether the certificate of the sender of `req` is for `name`.
fn is_certified(req: &Request, name: &str) -> bool {
    let check = || {
        let leaf = req.tls_info()?.peer_certificates().first()?;
        let leaf = CertificateDer::from(leaf.as_slice());
        let leaf = EndEntityCert::try_from(&leaf).ok()?;
        let name = ServerName::try_from(name).ok()?;
        leaf.verify_is_valid_for_subject_name(&name).ok()
    };
    check().is_some()
}
