//! A loopback proxy that harms what passes through it.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// What a proxy does with the bytes of its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Harm {
    /// Passes them on.
    None,
    /// Passes them on later.
    Delay(Duration),
    /// Ends open connections and new ones with a reset.
    Reset,
    /// Loses what goes to the server; its answers still come.
    CutThere,
    /// Loses what comes back.
    CutBack,
    /// Loses both, and keeps connections open.
    Silence,
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    harm: watch::Sender<Harm>,
}

impl Proxy {
    /// Starts a proxy to `to` that harms nothing yet.
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            harm: watch::Sender::new(Harm::None),
        };
        let harm = proxy.harm.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(carry(stream, to, harm.clone()));
            }
        });
        proxy
    }

    /// Sets what it does from now on, with open connections as well.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

/// Carries one connection until either end closes it or it is reset.
async fn carry(stream: TcpStream, to: SocketAddr, mut harm: watch::Receiver<Harm>) {
    // Closing with nothing lingering and bytes unsent resets a connection.
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

/// Carries bytes one way; the end of one way is passed on as such.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    harm: watch::Receiver<Harm>,
    cut: Harm,
) {
    let mut bytes = [0; 8 << 10];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        let now = *harm.borrow();
        if let Harm::Delay(span) = now {
            tokio::time::sleep(span).await;
        }
        let is_lost = now == cut || now == Harm::Silence;
        if !is_lost && to.write_all(&bytes[..count]).await.is_err() {
            break;
        }
    }
    // The other end may have closed it already.
    let _ = to.shutdown().await;
}
