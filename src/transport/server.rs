//! Starts and stops HTTP servers.

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

/// The most headers of a message from another node. Callers may send 100, the default of the HTTP
/// library, and the node that took the request in adds its own.
const MAX_NODE_HEADERS: usize = 128;

/// The largest head of a message from another node, in bytes: beyond what the HTTP library takes
/// from callers by default, about 400 KiB.
const MAX_NODE_HEAD: u32 = 512 << 10;

/// The largest head of a message from a caller, target or operator, and the most that a connection
/// reads ahead of a body, in bytes. The HTTP library's default is 400 KiB for each connection.
const MAX_OUTSIDE_BUFFER: usize = 32 << 10;

/// Whose requests a server takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Client {
    /// Those of callers, targets and operators.
    Outside,
    /// Those of other nodes, whose heads may be larger: the node that took a request in has judged
    /// its head, and no other node may refuse it for what nodes add.
    Nodes,
}

/// A bound address whose connections are not accepted until it is served.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    /// The address, with the port chosen by the operating system if none was given.
    pub address: SocketAddr,
}

impl Listener {
    /// Returns a listener bound to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses the address.
    pub fn bind(address: SocketAddr) -> Result<Self, Error> {
        let bind = || {
            let socket = TcpListener::bind(address)?;
            socket.set_nonblocking(true)?;
            let address = socket.local_addr()?;
            Ok(Self { socket, address })
        };
        bind().map_err(|source| Error::Listen { address, source })
    }

    /// Starts a server for requests of `client` that runs `router` until the returned handle stops it.
    /// It must be called within a runtime, which runs the server as a task.
    ///
    /// `header_timeout` limits the time in which the whole head of the next request
    /// must arrive on a connection, including the idle time between two requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime does not accept the socket or a certificate
    /// is invalid.
    pub async fn serve(
        self,
        client: Client,
        router: Router,
        header_timeout: Span,
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
                client,
                router,
                header_timeout,
            )),
            Security::Tls(tls) => {
                let listener = RustlsListener::new(tls::server(tls)?, self);
                Ok(run(
                    listener.try_bind().await.map_err(listen)?,
                    client,
                    router,
                    header_timeout,
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

/// The time for which a connection from another node may be idle. It is longer than
/// the idle timeout of the sending node, so that the sender closes the connection:
/// the outcome of a request that is written just as the receiver closes would be
/// unknown.
pub const PEER_IDLE_TIMEOUT: Span = Span::from_secs(600);

/// A running server.
pub struct Running {
    handle: ServerHandle,
    task: tokio::task::JoinHandle<()>,
}

impl Running {
    /// Stops accepting connections and waits until the running requests have ended,
    /// for at most `max_wait`.
    pub async fn stop(self, max_wait: std::time::Duration) {
        self.handle.stop_graceful(max_wait);
        // The result does not matter: a server that panicked has stopped, too.
        let _ = self.task.await;
    }
}

fn run<A>(acceptor: A, client: Client, router: Router, header_timeout: Span) -> Running
where
    A: Acceptor + Send + 'static,
{
    // A sender that never completes its headers must not occupy a connection.
    let fuse = FuseConfig::default().with_http1_header_timeout(header_timeout.duration());
    let mut server = Server::new(acceptor).fuse_config(fuse);
    match client {
        Client::Outside => {
            server.http1_mut().max_buf_size(MAX_OUTSIDE_BUFFER);
        }
        Client::Nodes => {
            let http1 = server.http1_mut();
            http1.max_headers(MAX_NODE_HEADERS);
            http1.max_buf_size(MAX_NODE_HEAD as usize);
            server.http2_mut().max_header_list_size(MAX_NODE_HEAD);
        }
    }
    let handle = server.handle();
    // Prevents the library from replacing empty error answers by pages of its own.
    let service = Service::new(router).catcher(Catcher::new(NoCatcher));
    let task = tokio::spawn(server.serve(service));
    Running { handle, task }
}

/// A catcher that leaves answers unchanged.
struct NoCatcher;

#[salvo::async_trait]
impl Handler for NoCatcher {
    async fn handle(
        &self,
        _: &mut salvo::Request,
        _: &mut salvo::Depot,
        _: &mut salvo::Response,
        _: &mut salvo::FlowCtrl,
    ) {
    }
}

/// Returns a router that passes requests for all paths to `handler`.
pub fn everything(handler: impl Handler) -> Router {
    Router::with_path("{**rest}").goal(handler)
}
