//! TLS clients and servers, with their keys and certificates.

use std::{fs, path::Path, sync::Arc};

use rustls::{
    ClientConfig, RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
};
use salvo::conn::rustls::{Keycert, RustlsConfig};

use crate::{
    settings::{Security, Settings, Tls},
    transport::{Error, http},
};

/// Returns the URL scheme for requests between nodes.
pub fn scheme(security: &Security) -> &'static str {
    match security {
        Security::Plaintext => "http",
        Security::Tls(_) => "https",
    }
}

/// Returns the HTTP client for requests to other nodes.
///
/// # Errors
///
/// Returns an error if a key or certificate can't be read or is invalid.
pub fn client(settings: &Settings) -> Result<reqwest::Client, Error> {
    proven(http::mesh_client(settings), &settings.security)
}

/// Returns an HTTP client that, with TLS, presents the certificate of `security`.
///
/// # Errors
///
/// Returns an error if a key or certificate can't be read or is invalid.
pub fn proven(base: reqwest::ClientBuilder, security: &Security) -> Result<reqwest::Client, Error> {
    let Security::Tls(tls) = security else {
        return Ok(base.build()?);
    };
    let mut roots = RootCertStore::empty();
    for certificate in certificates(&tls.authority)? {
        roots
            .add(certificate)
            .map_err(|error| file_error(&tls.authority, error))?;
    }
    let key =
        PrivateKeyDer::from_pem_file(&tls.key).map_err(|error| file_error(&tls.key, error))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| file_error(&tls.certificate, error))?
        .with_root_certificates(roots)
        .with_client_auth_cert(certificates(&tls.certificate)?, key)
        .map_err(|error| file_error(&tls.certificate, error))?;
    Ok(base.tls_backend_preconfigured(config).build()?)
}

/// Returns a server configuration that accepts only clients with a certificate of the
/// authority.
///
/// # Errors
///
/// Returns an error if a file can't be read.
pub fn server(tls: &Tls) -> Result<RustlsConfig, Error> {
    let pair = Keycert::new()
        .cert(read(&tls.certificate)?)
        .key(read(&tls.key)?);
    Ok(RustlsConfig::new(pair).client_auth_required(read(&tls.authority)?))
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let found = CertificateDer::pem_file_iter(path).map_err(|error| file_error(path, error))?;
    found
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| file_error(path, error))
}

fn read(path: &Path) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|error| file_error(path, error))
}

/// Returns the error for a file that can't be used.
fn file_error(path: &Path, error: impl std::fmt::Display) -> Error {
    Error::Tls {
        path: path.into(),
        what: error.to_string(),
    }
}
