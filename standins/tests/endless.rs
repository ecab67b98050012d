//! Targets that send bytes without end, in a head or a body.

use rilltrack_standins::{
    fleet::{pair, version},
    target::{Endless, Mode},
    until,
};

/// The time for a request that an endless answer may use up, in milliseconds.
const DEADLINE: u64 = 1500;

fn status(answer: &str) -> &str {
    answer.get(9..12).unwrap_or_default()
}

/// Returns whether a target's fault was the reason of a failure, not the time.
fn is_fault(answer: &str) -> bool {
    ["502", "503"].contains(&status(answer))
}

fn is_late(answer: &str) -> bool {
    status(answer) == "504"
}

fn is_whole(answer: &str) -> bool {
    status(answer) == "200" && answer.ends_with("\r\n\r\nok")
}

/// Returns whether an answer failed or its body has no end.
fn is_broken_off(answer: &str) -> bool {
    let has_end = answer.ends_with("0\r\n\r\n") || answer.contains("content-length: ");
    is_late(answer) || is_fault(answer) || status(answer) == "200" && !has_end
}

macro_rules! endless {
    ($($name:ident: $endless:ident, $deadline:expr => $is_right:path;)*) => {$(
        // Guards against a node that reads from a target without end: the caller gets no answer, and
        // the connection, its memory and the target's slot are never given back.
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let (_store, one, two) = pair(&version(5, &["a", "b"]), "b").await;
            // Through another host, and beside the target.
            for (host, id) in [(&one, "c1"), (&two, "c2")] {
                two.target.set(Mode::Endless(Endless::$endless));
                let answer = host.ask_within("GET", "/get/b/x", id, "", $deadline).await;
                let head = answer.split("\r\n\r\n").next().unwrap_or_default();
                assert!($is_right(&answer), "at {}: {head}", host.name);
                until("the node closes the connection", async || {
                    two.target.endless_connections() == 0
                })
                .await;
                two.target.set(Mode::Serves);
                let next = format!("{id}-next");
                until("the target serves again", async || {
                    let answer = host.ask_within("GET", "/get/b/x", &next, "", 5000).await;
                    answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(&format!("ran {next}"))
                })
                .await;
            }
        }
    )*};
}

// Requests with a deadline of 20 s get their answer for what the target sent, not for the time.
endless! {
    junk: Junk, 20_000 => is_fault;
    empty_lines: EmptyLines, 20_000 => is_fault;
    endless_status_line: StatusLine, 20_000 => is_fault;
    endless_header: Header, 20_000 => is_fault;
    endless_headers: Headers, 20_000 => is_fault;
    endless_informational_responses: Interim, 20_000 => is_fault;
    bytes_after_a_whole_answer: Excess, 20_000 => is_whole;
    endless_body_of_a_refusal: Refusal, 20_000 => is_fault;
    endless_trailers: Trailers, 20_000 => is_fault;
    endless_chunks: Chunks, DEADLINE => is_broken_off;
    endless_body_without_a_length: Unframed, DEADLINE => is_broken_off;
    endless_body_in_small_pieces: Drip, DEADLINE => is_late;
}
