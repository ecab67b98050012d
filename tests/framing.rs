//! Where messages end: heads of responses in pieces, fields that resemble those for the length, and
//! connections that are reset.

use std::{
    io::ErrorKind,
    pin::Pin,
    task::{Context, Poll},
};

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Version};
use hyper::rt::{Read, ReadBuf, Write};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use rilltrack::{
    protocol::{framing, response_head::Scanner},
    transport::relay::io::Io,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// A head with an informational response before it, and the start of a body.
const HEAD: &[u8] = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n\
    HTTP/1.1 200 OK\r\nX: y\tz\r\nY:\r\nContent-Length: 5\r\n\r\nhello";

/// Returns what a scanner says of `bytes` that come in pieces of these sizes, and then the rest.
fn scan(bytes: &[u8], sizes: &[usize]) -> Result<bool, ()> {
    let mut scanner = Scanner::default();
    let mut rest = bytes;
    for size in sizes {
        let (piece, after) = rest.split_at((*size).min(rest.len()));
        scanner.scan(piece).map_err(drop)?;
        rest = after;
    }
    scanner.scan(rest).map_err(drop)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a damaged head that passes if it comes in certain pieces.
    #[test]
    fn result_does_not_depend_on_the_pieces(
        sizes in vec(0..40usize, 0..8),
        at in 0..HEAD.len(),
        byte in any::<u8>(),
    ) {
        let mut damaged = HEAD.to_vec();
        damaged[at] = byte;
        prop_assert_eq!(scan(&damaged, &sizes), scan(&damaged, &[]));
        prop_assert_eq!(scan(HEAD, &sizes), Ok(true));
    }

    // Guards against a head that two programs place differently: what passes has the head that a
    // reader of whole lines finds.
    #[test]
    fn accepted_head_ends_at_its_first_empty_line(at in 0..HEAD.len(), byte in any::<u8>()) {
        let mut damaged = HEAD.to_vec();
        damaged[at] = byte;
        let text = String::from_utf8_lossy(&damaged).into_owned();
        let last = text.rfind("\r\n\r\n").map_or("", |end| &text[..end]);
        if scan(&damaged, &[]) == Ok(true) {
            for line in last.split("\r\n") {
                let is_start = line.starts_with("HTTP/1.") || line.is_empty();
                let name = line.split_once(':').map(|(name, _)| name);
                let is_field = name.is_some_and(|name| HeaderName::try_from(name).is_ok());
                prop_assert!((is_start || is_field) && !line.contains(['\r', '\n']), "{line:?}");
            }
        }
    }
}

fn check(method: &Method, version: Version, name: &str) -> Result<(), framing::Error> {
    let mut headers = HeaderMap::new();
    headers.insert(
        HeaderName::try_from(name).unwrap(),
        HeaderValue::from_static("5"),
    );
    framing::check_response(method, StatusCode::OK, version, &headers)
}

macro_rules! names {
    ($($test:ident: $method:ident $version:ident $name:literal => $is_valid:literal;)*) => {$(
        // Guards against a damaged field for the length, and a sound field that is taken for one.
        #[test]
        fn $test() {
            let checked = check(&Method::$method, Version::$version, $name);
            assert_eq!(checked.is_ok(), $is_valid, "{checked:?}");
        }
    )*};
}

names! {
    damaged_byte: GET HTTP_11 "content-lengtx" => false;
    four_damaged_bytes: GET HTTP_11 "c#nt!nt_lengt~" => false;
    lost_byte: GET HTTP_11 "ontent-length" => false;
    byte_too_many: GET HTTP_11 "content--length" => false;
    damaged_coding: GET HTTP_10 "transfer-encodinx" => false;
    no_body_in_the_response_to_head: HEAD HTTP_11 "content-lengtx" => true;
    frames_of_http_2: GET HTTP_2 "content-lengtx" => true;
    content_language: GET HTTP_11 "content-language" => true;
    content_location: GET HTTP_11 "content-location" => true;
    content_encoding: GET HTTP_11 "content-encoding" => true;
    name_with_a_prefix: GET HTTP_11 "x-content-length" => true;
    another_name_as_long: GET HTTP_11 "accept-charset" => true;
}

macro_rules! bodies {
    ($($test:ident: $version:ident [$($name:literal: $value:literal),*] $body:literal => $is_rest:literal;)*) => {$(
        // Guards against the rest of a head that passes for the start of a body, and a sound body that
        // is taken for one.
        #[test]
        fn $test() {
            #[allow(unused_mut)]
            let mut headers = HeaderMap::new();
            $(headers.insert($name, HeaderValue::from_static($value));)*
            let is_rest = framing::is_rest_of_head(Version::$version, &headers, $body);
            assert_eq!(is_rest, $is_rest);
        }
    )*};
}

bodies! {
    rest_of_a_head: HTTP_11 [] b"Content-Length: 5\r\n\r\nhello" => true;
    empty_line: HTTP_11 [] b"\r\nhello" => true;
    text: HTTP_11 [] b"hello" => false;
    text_of_lines: HTTP_11 [] b"hello, you\r\nthere" => false;
    text_with_a_colon_after_a_blank: HTTP_11 [] b"as we said: hello\r\n" => false;
    empty_body: HTTP_11 [] b"" => false;
    body_of_a_length: HTTP_11 ["content-length": "9"] b"A: b\r\nabc" => false;
    body_in_chunks: HTTP_11 ["transfer-encoding": "chunked"] b"A: b\r\n" => false;
    announced_end: HTTP_11 ["connection": "x, Close"] b"A: b\r\n" => false;
    http_1_0_body: HTTP_10 [] b"A: b\r\n" => false;
}

/// Returns the two ends of a connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (connected, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (connected.unwrap(), accepted.unwrap().0)
}

/// Reads once; returns how many bytes were read.
async fn read(io: &mut Io) -> Result<usize, ErrorKind> {
    std::future::poll_fn(|cx: &mut Context<'_>| {
        let mut bytes = [0; 64];
        let mut buffer = ReadBuf::new(&mut bytes);
        match Pin::new(&mut *io).poll_read(cx, buffer.unfilled()) {
            Poll::Ready(Ok(())) => Poll::Ready(Ok(buffer.filled().len())),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error.kind())),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

/// Writes until the connection has noticed its reset.
async fn write_until_reset(io: &mut Io, handle: &TcpStream) {
    for _ in 0..100 {
        let _ = std::future::poll_fn(|cx| Pin::new(&mut *io).poll_write(cx, b"x")).await;
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    assert!(handle.peer_addr().is_err(), "the connection is reset");
}

// Guards against a reset that a write consumes: the read after it found an orderly end, and the part
// of a response without a length passed for the whole.
#[tokio::test]
async fn reset_that_a_write_noticed_ends_no_response() {
    let (stream, mut peer) = connection().await;
    let (mut io, handle) = Io::client(stream);
    peer.write_all(b"part").await.unwrap();
    handle.readable().await.unwrap();
    peer.set_zero_linger().unwrap();
    drop(peer);
    write_until_reset(&mut io, &handle).await;
    assert_eq!(read(&mut io).await, Ok(4));
    assert!(read(&mut io).await.is_err());
}

#[tokio::test]
async fn orderly_end_is_one() {
    let (stream, mut peer) = connection().await;
    let (mut io, _) = Io::client(stream);
    peer.write_all(b"part").await.unwrap();
    peer.shutdown().await.unwrap();
    let write = std::future::poll_fn(|cx| Pin::new(&mut io).poll_write(cx, b"x"));
    write.await.unwrap();
    assert_eq!(peer.read_u8().await.unwrap(), b'x');
    assert_eq!(read(&mut io).await, Ok(4));
    assert_eq!(read(&mut io).await, Ok(0));
}
