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
        Security::Tls(_) if is_confirmed(req, &claimed) => Ok(claimed),
        Security::Tls(_) => Err(Error::Impostor(dns_name(&claimed))),
    }
}

/// Returns the DNS name that the certificate of a node must be for.
pub fn dns_name(identity: &Identity) -> String {
    format!("{}.{}", identity.node, identity.domain)
}

fn is_confirmed(req: &Request, claimed: &Identity) -> bool {
    let confirm = || {
        let leaf = req.tls_info()?.peer_certificates().first()?;
        let leaf = CertificateDer::from(leaf.as_slice());
        let leaf = EndEntityCert::try_from(&leaf).ok()?;
        let name = ServerName::try_from(dns_name(claimed)).ok()?;
        leaf.verify_is_valid_for_subject_name(&name).ok()
    };
    confirm().is_some()
}
