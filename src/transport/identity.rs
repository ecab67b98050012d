//! The authentication of nodes and operators.
//!
//! Every request between nodes names the sender's node and failure domain. With TLS
//! the sender's certificate must be for the DNS name `NODE.DOMAIN`. A node can
//! therefore claim neither another node's name nor another failure domain, which
//! would change where it may send requests.

use rustls::pki_types::{CertificateDer, ServerName};
use salvo::Request;
use webpki::EndEntityCert;

use crate::{
    id::{Name, Node},
    protocol::answer,
    settings::Security,
    transport::http,
};

/// The node that sent a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The node's name.
    pub node: Node,
    /// Its failure domain.
    pub domain: Name,
}

/// The reason why a sender's identity is not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The request does not name the sender.
    #[error("the sender does not say which node it is")]
    Unnamed,
    /// The sender's certificate is for another name.
    #[error("the sender's certificate is not for {0}")]
    WrongCertificate(String),
}

/// Returns the sender of `req`. With TLS its certificate must confirm the identity.
///
/// # Errors
///
/// Returns an error if the request does not name its sender or the certificate is for
/// another name.
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
        Security::Tls(_) => Err(Error::WrongCertificate(dns_name(&claimed))),
    }
}

/// The DNS name that the certificate of an operator must be for.
pub const OPERATOR: &str = "operator.rilltrack.internal";

/// Returns whether the sender of `req` is an operator. With TLS the sender's
/// certificate must be an operator's, so that no node, target or caller can publish
/// changes.
pub fn is_operator(req: &Request, security: &Security) -> bool {
    matches!(security, Security::Plaintext) || is_certified(req, OPERATOR)
}

/// Returns the DNS name that the certificate of the given node must be for.
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
