//! A loopback TCP proxy that injects network faults.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// The fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Harm {
    /// Forwards all bytes.
    None,
    /// Forwards all bytes after this delay.
    Delay(Duration),
    /// Resets open and new connections.
    Reset,
    /// Drops bytes to the server; bytes from it are still forwarded.
    CutThere,
    /// Drops bytes from the server; bytes to it are still forwarded.
    CutBack,
    /// Drops bytes in both directions and keeps connections open.
    Silence,
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    /// The address that it listens on.
    pub address: SocketAddr,
    harm: watch::Sender<Harm>,
}

impl Proxy {
    /// Starts a proxy to `to` without a fault.
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            harm: watch::Sender::new(Harm::None),
        };
        let harm = proxy.harm.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, to, harm.clone()));
            }
        });
        proxy
    }

    /// Sets the fault for new and open connections.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

/// Forwards one connection until both directions have ended or it is reset.
async fn forward(stream: TcpStream, to: SocketAddr, mut harm: watch::Receiver<Harm>) {
    // With a zero linger time, closing a connection resets it.
    stream.set_zero_linger().unwrap();
    if *harm.borrow() == Harm::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    server.set_zero_linger().unwrap();
    let (near_in, near_out) = stream.into_split();
    let (far_in, far_out) = server.into_split();
    let there = pump(near_in, far_out, harm.clone(), Harm::CutThere);
    let back = pump(far_in, near_out, harm.clone(), Harm::CutBack);
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = harm.wait_for(|harm| *harm == Harm::Reset) => {}
    }
}

/// Forwards bytes in one direction, unless the fault `cut` drops them; forwards the end of
/// the stream, too.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    harm: watch::Receiver<Harm>,
    cut: Harm,
) {
    let mut bytes = [0; 8 << 10];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        let current = *harm.borrow();
        if let Harm::Delay(span) = current {
            tokio::time::sleep(span).await;
        }
        let is_dropped = current == cut || current == Harm::Silence;
        if !is_dropped && to.write_all(&bytes[..count]).await.is_err() {
            break;
        }
    }
    // Fails if the receiving end has closed the connection already.
    let _ = to.shutdown().await;
}
