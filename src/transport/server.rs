//! Starting and stopping servers.

use std::net::{SocketAddr, TcpListener};

use salvo::{
    Handler, Router, Server, Service,
    catcher::Catcher,
    conn::{Acceptor, Listener as _, rustls::RustlsListener, tcp::TcpAcceptor},
    fuse::FuseConfig,
    server::ServerHandle,
};

use crate::{
    settings::Security,
    transport::{Error, tls},
    unit::Span,
};

/// An address that is held before anything serves it.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    /// The address, with the port that the system chose if none was given.
    pub address: SocketAddr,
}

impl Listener {
    /// Returns a listener on `address`.
    ///
    /// # Errors
    ///
    /// If the system refuses it.
    pub fn bind(address: SocketAddr) -> Result<Self, Error> {
        let bind = || {
            let socket = TcpListener::bind(address)?;
            socket.set_nonblocking(true)?;
            let address = socket.local_addr()?;
            Ok(Self { socket, address })
        };
        bind().map_err(|source| Error::Listen { address, source })
    }

    /// Serves `router` until the handle stops it. Must be called within a
    /// runtime; the server is a task of it.
    ///
    /// # Errors
    ///
    /// If the runtime does not take the socket, or a certificate can't be
    /// used.
    ///
    /// `patience` bounds how long a connection may stay without the whole head
    /// of a next request, also between two requests.
    pub async fn serve(
        self,
        router: Router,
        patience: Span,
        security: &Security,
    ) -> Result<Running, Error> {
        let address = self.address;
        let listen = |source: salvo::Error| Error::Listen {
            address,
            source: std::io::Error::other(source),
        };
        match security {
            Security::Plaintext => Ok(run(
                self.try_bind().await.map_err(listen)?,
                router,
                patience,
            )),
            Security::Tls(tls) => {
                let listener = RustlsListener::new(tls::server(tls)?, self);
                Ok(run(
                    listener.try_bind().await.map_err(listen)?,
                    router,
                    patience,
                ))
            }
        }
    }
}

impl salvo::conn::Listener for Listener {
    type Acceptor = TcpAcceptor;

    async fn try_bind(self) -> Result<TcpAcceptor, salvo::Error> {
        let socket = tokio::net::TcpListener::from_std(self.socket)?;
        Ok(TcpAcceptor::try_from(socket)?)
    }
}

/// How long a connection from another node may stay unused. Longer than nodes
/// keep them, so that it is the sender who closes: a request written just as
/// the receiver closes would be of unknown outcome.
pub const PEER_PATIENCE: Span = Span::from_secs(600);

/// A server that runs.
pub struct Running {
    handle: ServerHandle,
    task: tokio::task::JoinHandle<()>,
}

impl Running {
    /// Takes no new connections and waits for what is in flight, at most
    /// `patience`.
    pub async fn stop(self, patience: std::time::Duration) {
        self.handle.stop_graceful(patience);
        // A server that panicked has ended, which is all that is asked.
        let _ = self.task.await;
    }
}

fn run<A>(acceptor: A, router: Router, patience: Span) -> Running
where
    A: Acceptor + Send + 'static,
{
    // A sender that never ends its headers must not hold a connection.
    let fuse = FuseConfig::default().with_http1_header_timeout(patience.duration());
    let server = Server::new(acceptor).fuse_config(fuse);
    let handle = server.handle();
    // Answers pass as they are: no page of the library's own is put in place
    // of an empty one.
    let service = Service::new(router).catcher(Catcher::new(Nothing));
    let task = tokio::spawn(server.serve(service));
    Running { handle, task }
}

struct Nothing;

#[salvo::async_trait]
impl Handler for Nothing {
    async fn handle(
        &self,
        _: &mut salvo::Request,
        _: &mut salvo::Depot,
        _: &mut salvo::Response,
        _: &mut salvo::FlowCtrl,
    ) {
    }
}

/// Returns a router that hands every path to `handler`.
pub fn everything(handler: impl Handler) -> Router {
    Router::with_path("{**rest}").goal(handler)
}
