//! Targets and callers that send raw bytes over TCP, to violate HTTP or break
//! connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Starts a target that answers each request with the bytes that `answer` returns
/// for its serial number. `None` closes the connection without an answer; any
/// answer but one with the body `ok` closes it afterwards. Returns the address and
/// the count of requests.
pub async fn target(
    answer: impl Fn(u64) -> Option<Vec<u8>> + Send + Sync + 'static,
) -> (SocketAddr, Arc<AtomicU64>) {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let hits = Arc::new(AtomicU64::new(0));
    let (answer, counter) = (Arc::new(answer), hits.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = socket.accept().await {
            tokio::spawn(serve(stream, answer.clone(), counter.clone()));
        }
    });
    (address, hits)
}

async fn serve(
    mut stream: TcpStream,
    answer: Arc<impl Fn(u64) -> Option<Vec<u8>>>,
    hits: Arc<AtomicU64>,
) {
    while read_request(&mut stream).await.is_some() {
        let number = hits.fetch_add(1, Ordering::SeqCst);
        let Some(bytes) = answer(number) else { return };
        let must_close = !bytes.ends_with(b"\r\n\r\nok");
        if stream.write_all(&bytes).await.is_err() || must_close {
            return;
        }
    }
}

/// Reads the head of a request and a body of its content length.
async fn read_request(stream: &mut TcpStream) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(())
}

/// Sends `bytes` and returns all bytes received until the connection closes or
/// nothing arrives for 700 ms.
pub async fn exchange(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    // The server may answer and close before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let read = tokio::time::timeout(
            std::time::Duration::from_millis(700),
            stream.read(&mut chunk),
        )
        .await;
        match read {
            Ok(Ok(count)) if count > 0 => answer.extend(&chunk[..count]),
            _ => return String::from_utf8_lossy(&answer).into(),
        }
    }
}

/// Sends `bytes` and returns all bytes received until the peer closes the
/// connection. The limit of 60 s only stops a hanging test.
pub async fn exchange_until_closed(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    // The server may answer and close before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let limit = std::time::Duration::from_secs(60);
    // A reset ends the answer as well; the bytes received before it are returned.
    let _ = tokio::time::timeout(limit, read)
        .await
        .expect("the connection closes in time");
    String::from_utf8_lossy(&answer).into()
}
