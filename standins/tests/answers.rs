//! Answers of targets in trouble, whose heads, lengths or ends are damaged.

use rilltrack_standins::{
    fleet::{Host, pair, version},
    raw,
    target::{End, Script},
};

/// Headers that every answer of a target has.
const MARKS: &str = "Rilltrack-Attempt-Id: {id}\r\nRilltrack-Response-Signature: 1.2.3\r\n";

/// The length of the body that the scripts send, in bytes.
const LENGTH: usize = 5;

/// A body in chunks.
const CHUNKS: &str = "5\r\nhello\r\n0\r\n\r\n";

/// Returns an answer with `lines` in its head, each with its line end.
fn with(lines: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{MARKS}{lines}\r\nhello")
}

/// Returns an answer with `lines` in its head and a body in chunks.
fn chunked(lines: &str, chunks: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{MARKS}{lines}\r\n{chunks}")
}

/// Returns an answer with `line` in place of the status line.
fn status_line(line: &str) -> String {
    format!("{line}\r\n{MARKS}Content-Length: {LENGTH}\r\n\r\nhello")
}

fn status(answer: &str) -> &str {
    answer.get(9..12).unwrap_or_default()
}

fn is_served(answer: &str) -> bool {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
    // A body without a length comes in one chunk, if it isn't held whole on the way.
    status(answer) == "200" && head.contains("1.2.3") && (body == "hello" || body == CHUNKS)
}

/// Returns whether the caller was told that the target's answer failed.
fn is_fault(answer: &str) -> bool {
    status(answer) == "502" && !answer.contains("1.2.3") && !answer.contains("hello")
}

/// Returns the answers to a request, through another host and beside the target.
async fn answers(script: Script) -> [String; 2] {
    let (_store, one, two) = pair(&version(5, &["a", "b"]), "b").await;
    two.target.play(Some(script));
    let ask = async |host: &Host, id| host.ask("POST", "/post/b/x", id, "").await;
    [ask(&one, "c1").await, ask(&two, "c2").await]
}

macro_rules! answers {
    ($($name:ident: $answer:expr => $is_right:path;)*) => {$(
        // Guards against a damaged answer that passes for the target's, and a sound one that doesn't.
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let script = Script { answer: $answer, is_early: false, end: End::Close };
            for answer in answers(script).await {
                assert!($is_right(&answer), "{answer:?}");
            }
        }
    )*};
}

answers! {
    length: with("Content-Length: 5\r\n") => is_served;
    length_in_lower_case: with("content-length:5\r\n") => is_served;
    no_length_before_an_orderly_end: with("") => is_served;
    no_length_and_close: with("Connection: close\r\n") => is_served;
    chunks: chunked("Transfer-Encoding: chunked\r\n", CHUNKS) => is_served;
    chunks_in_capitals: chunked("Transfer-Encoding: CHUNKED\r\n", CHUNKS) => is_served;
    chunks_with_extensions_and_trailers:
        chunked("Transfer-Encoding: chunked\r\n", "5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n") => is_served;
    empty_value_and_bytes_beyond_ascii: with("X:\r\nY: \u{e4}\r\nContent-Length: 5\r\n") => is_served;
    names_close_to_no_framing_field:
        with("Content-Type: a/b\r\nContent-Location: /a\r\nTransfer-Id: 5\r\n") => is_served;
    no_reason_phrase: status_line("HTTP/1.1 200 ") => is_served;
    http_1_0: status_line("HTTP/1.0 200 OK") => is_served;
    informational_response_first:
        format!("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n{}", with("Content-Length: 5\r\n")) => is_served;

    length_with_letters: with("Content-Length: 5abc\r\n") => is_fault;
    length_of_letters: with("Content-Length: five\r\n") => is_fault;
    length_without_digits: with("Content-Length:\r\n") => is_fault;
    length_with_a_blank: with("Content-Length: 5 5\r\n") => is_fault;
    length_with_a_sign: with("Content-Length: +5\r\n") => is_fault;
    negative_length: with("Content-Length: -5\r\n") => is_fault;
    length_beyond_64_bits: with("Content-Length: 99999999999999999999\r\n") => is_fault;
    two_lengths_in_one_field: with("Content-Length: 5, 6\r\n") => is_fault;
    one_length_twice_in_a_field: with("Content-Length: 5, 5\r\n") => is_fault;
    two_lengths: with("Content-Length: 5\r\nContent-Length: 6\r\n") => is_fault;
    one_length_twice: with("Content-Length: 5\r\nContent-Length: 5\r\n") => is_fault;
    length_beyond_the_body: with("Content-Length: 6\r\n") => is_fault;
    length_and_no_end: with("Content-Length: 5\r\nTransfer-Encoding: identity\r\n") => is_fault;

    unknown_coding: chunked("Transfer-Encoding: chunkd\r\n", CHUNKS) => is_fault;
    empty_coding: chunked("Transfer-Encoding:\r\n", CHUNKS) => is_fault;
    coding_identity: with("Transfer-Encoding: identity\r\n") => is_fault;
    chunks_in_gzip: chunked("Transfer-Encoding: chunked, gzip\r\n", CHUNKS) => is_fault;
    gzip_in_chunks: chunked("Transfer-Encoding: gzip, chunked\r\n", CHUNKS) => is_fault;
    chunked_twice: chunked("Transfer-Encoding: chunked, chunked\r\n", CHUNKS) => is_fault;
    two_codings:
        chunked("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", CHUNKS) => is_fault;
    coding_and_length:
        chunked("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", CHUNKS) => is_fault;
    length_and_coding:
        chunked("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", CHUNKS) => is_fault;
    chunks_without_a_last_one:
        chunked("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n") => is_fault;
    size_of_a_chunk_with_other_letters:
        chunked("Transfer-Encoding: chunked\r\n", "5g\r\nhello\r\n0\r\n\r\n") => is_fault;
    size_of_a_chunk_without_digits:
        chunked("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n\r\n\r\n") => is_fault;
    trailer_that_is_no_field:
        chunked("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\njunk\r\n\r\n") => is_fault;

    damaged_name_of_the_length: with("Cxntent-Length: 5\r\n") => is_fault;
    name_of_the_length_without_a_letter: with("Contnt-Length: 5\r\n") => is_fault;
    name_of_the_length_with_an_underscore: with("Content_Length: 5\r\n") => is_fault;
    damaged_name_of_the_coding: chunked("Transfer-Encodin: chunked\r\n", CHUNKS) => is_fault;
    blank_in_the_name_of_the_length: with("Content Length: 5\r\n") => is_fault;
    blank_after_the_name_of_the_length: with("Content-Length : 5\r\n") => is_fault;
    control_byte_in_a_name: with("X\u{1}Y: z\r\nContent-Length: 5\r\n") => is_fault;
    delete_in_a_name: with("X\u{7f}Y: z\r\nContent-Length: 5\r\n") => is_fault;
    tab_in_a_name: with("X\tY: z\r\nContent-Length: 5\r\n") => is_fault;
    byte_beyond_ascii_in_a_name: with("X\u{e4}: z\r\nContent-Length: 5\r\n") => is_fault;
    blank_in_a_name: with("X Y: z\r\nContent-Length: 5\r\n") => is_fault;
    empty_name: with(": z\r\nContent-Length: 5\r\n") => is_fault;
    line_without_a_colon: with("junk\r\nContent-Length: 5\r\n") => is_fault;
    length_without_a_colon: with("Content-Length 5\r\n") => is_fault;
    name_of_the_length_alone: with("Content-Length\r\n") => is_fault;
    line_of_control_bytes: with("\u{1}\u{2}\r\nContent-Length: 5\r\n") => is_fault;
    folded_line: with("X: y\r\n z\r\nContent-Length: 5\r\n") => is_fault;
    folded_length: with("Content-Length:\r\n 5\r\n") => is_fault;
    line_feed_alone: with("X: y\nContent-Length: 5\r\n") => is_fault;
    length_swallowed_by_a_line_feed: with("X: y\n\nContent-Length: 5\r\n") => is_fault;
    carriage_return_alone: with("X: y\rContent-Length: 5\r\n") => is_fault;
    null_in_a_value: with("X: y\u{0}z\r\nContent-Length: 5\r\n") => is_fault;
    control_byte_in_a_value: with("X: y\u{1}z\r\nContent-Length: 5\r\n") => is_fault;
    empty_line_in_place_of_the_length:
        format!("HTTP/1.1 200 OK\r\n{MARKS}\r\n\r\nhello") => is_fault;
    empty_line_before_the_length:
        format!("HTTP/1.1 200 OK\r\n{MARKS}\r\nContent-Length: 5\r\n\r\nhello") => is_fault;
    empty_line_before_the_coding:
        format!("HTTP/1.1 200 OK\r\n{MARKS}\r\nTransfer-Encoding: chunked\r\n\r\n{CHUNKS}") => is_fault;
    line_feed_before_the_body:
        format!("HTTP/1.1 200 OK\r\n{MARKS}Content-Length: 5\r\n\nhello") => is_fault;
    status_line_ended_by_a_line_feed:
        format!("HTTP/1.1 200 OK\n{MARKS}Content-Length: 5\r\n\r\nhello") => is_fault;

    status_000: status_line("HTTP/1.1 000 OK") => is_fault;
    status_099: status_line("HTTP/1.1 099 OK") => is_fault;
    status_101: status_line("HTTP/1.1 101 Switching Protocols") => is_fault;
    status_600: status_line("HTTP/1.1 600 OK") => is_fault;
    status_999: status_line("HTTP/1.1 999 OK") => is_fault;
    status_of_two_digits: status_line("HTTP/1.1 20 OK") => is_fault;
    status_of_four_digits: status_line("HTTP/1.1 2000 OK") => is_fault;
    status_with_a_letter: status_line("HTTP/1.1 2x0 OK") => is_fault;
    http_2_0: status_line("HTTP/2.0 200 OK") => is_fault;
    http_1_9: status_line("HTTP/1.9 200 OK") => is_fault;
    name_of_the_protocol: status_line("HTPT/1.1 200 OK") => is_fault;
    control_byte_in_the_reason: status_line("HTTP/1.1 200 O\u{1}K") => is_fault;
}

/// The size of an upload that takes long to be written, in bytes: within the limit of the version,
/// beyond what the sockets on the way hold.
const UPLOAD: usize = 1_900_000;

/// Returns a whole request with a body of `size` bytes, in one chunk if it has no length.
fn upload(id: &str, size: usize, has_length: bool) -> Vec<u8> {
    let framing = match has_length {
        true => format!("Content-Length: {size}"),
        false => "Transfer-Encoding: chunked".into(),
    };
    let head = format!(
        "POST /post/b/x HTTP/1.1\r\nHost: fares.example\r\nRilltrack-Attempt-Id: {id}\r\n\
         Rilltrack-Deadline-Ms: 20000\r\n{framing}\r\nConnection: close\r\n\r\n"
    );
    let body = "x".repeat(size);
    let body = match has_length {
        true => body,
        false => format!("{size:x}\r\n{body}\r\n0\r\n\r\n"),
    };
    (head + &body).into_bytes()
}

/// Returns whether an answer isn't taken for a complete one.
fn is_incomplete(answer: &str) -> bool {
    // An answer in chunks that breaks off has no last chunk.
    let is_cut = answer.contains("transfer-encoding: chunked") && !answer.ends_with("0\r\n\r\n");
    status(answer) != "200" || is_cut
}

macro_rules! early {
    ($($name:ident: $answer:expr, $end:ident => $is_right:path;)*) => {$(
        // Guards against a part of an answer that passes for the whole, since the reset of the
        // connection was noticed by the write of the upload.
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let (_store, one, two) = pair(&version(5, &["a", "b"]), "b").await;
            let script = Script { answer: $answer, is_early: true, end: End::$end };
            two.target.play(Some(script));
            for size in [5_000, 600_000, UPLOAD] {
                for (host, at) in [(&one, "n1"), (&two, "n2")] {
                    for has_length in [true, false] {
                        let id = format!("{at}-{size}-{has_length}");
                        let request = upload(&id, size, has_length);
                        let answer = raw::exchange_until_closed(host.callers(), &request).await;
                        assert!($is_right(&answer), "{id}: {answer:?}");
                    }
                }
            }
        }
    )*};
}

early! {
    early_answer_without_a_length_that_is_reset: with(""), Reset => is_incomplete;
    early_answer_and_close_that_is_reset: with("Connection: close\r\n"), Reset => is_incomplete;
    early_answer_with_a_length_that_is_reset: with("Content-Length: 6\r\n"), Reset => is_incomplete;
    early_chunks_that_are_reset:
        chunked("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n"), Reset => is_incomplete;
    early_answer_without_a_length: with(""), Close => is_served;
    early_answer_with_a_length: with("Content-Length: 5\r\n"), Close => is_served;
    early_chunks: chunked("Transfer-Encoding: chunked\r\n", CHUNKS), Close => is_served;
}
