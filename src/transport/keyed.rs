//! Keyed requests at the inbound proxy: issues idempotency keys and runs the
//! request of each key at most once.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use parking_lot::Mutex;
use rustls::crypto::SecureRandom;
use salvo::{Request, Response, http::ResBody};
use serde::{Deserialize, Serialize};

use crate::{
    coordination::{
        idempotency::{Answer, Key, KeyedDecision, Ledger, LedgerLimits, MAX_ANSWER, Record},
        memory::{self, Hold},
    },
    event::Event,
    protocol::answer::{self, Outcome, Refusal},
    settings,
    transport::{
        http,
        identity::Identity,
        inbound::{Inbound, Onward, Visit},
        targets,
    },
    unit::{Size, Span},
};

/// The path at which callers request keys from any node, and nodes from each
/// other.
pub const PATH: &str = "/rilltrack/keys";

/// The size in bytes of the largest body of a keyed request. The body is buffered
/// whole, so that a repeat can be compared with the first request.
pub const MAX_BODY: usize = 1 << 20;

/// The maximum number of keys issued at a time.
const MAX_ISSUED_KEYS: usize = 1000;

/// The keys issued by one incarnation of a node, and the results of their requests.
pub struct Keys {
    ledger: Mutex<Ledger>,
    life: Span,
    random: &'static dyn SecureRandom,
}

/// The answer to a request for keys, as JSON.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Issued {
    /// The keys, each for one request.
    pub keys: Vec<String>,
    /// The time for which the keys are valid.
    pub expires_after: Span,
}

impl Keys {
    /// Returns an empty set of keys with the limits of `settings`.
    pub fn new(settings: &settings::Requests) -> Self {
        Self {
            ledger: Mutex::new(Ledger::new(LedgerLimits {
                keys: settings.keys,
                key_lifetime: settings.key_life,
                answer_bytes: settings.key_answers,
            })),
            life: settings.key_life,
            random: rustls::crypto::ring::default_provider().secure_random,
        }
    }

    /// Returns the secret of a new key. It comes from a cryptographic generator,
    /// because a caller could predict the output of an ordinary one from its own
    /// keys.
    fn secret(&self) -> Result<u128, Refusal> {
        let mut bytes = [0; 16];
        let filled = self.random.fill(&mut bytes);
        filled.map_err(|_| Refusal::not_run("no random numbers to be had", Span::from_secs(10)))?;
        Ok(u128::from_be_bytes(bytes))
    }
}

/// Issues keys that are valid at this node and writes them to `res`.
///
/// # Errors
///
/// Returns the refusal if no target of the service is on this host or the limit of
/// keys is reached.
pub fn issue(
    inbound: &Inbound,
    sender: &Identity,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Refusal> {
    inbound.receive(sender, req.headers())?;
    let count = req
        .query::<usize>("count")
        .unwrap_or(1)
        .clamp(1, MAX_ISSUED_KEYS);
    let now = inbound.node.uptime_ms();
    let mut ledger = inbound.keys.ledger.lock();
    let mut keys = Vec::with_capacity(count);
    for _ in 0..count {
        let secret = inbound.keys.secret()?;
        if !ledger.issue(secret, now) {
            break;
        }
        let node = inbound.node.settings.node.clone();
        keys.push(
            Key {
                node,
                incarnation: inbound.node.incarnation(),
                secret,
            }
            .to_string(),
        );
    }
    drop(ledger);
    if keys.is_empty() {
        return Err(Refusal::not_run(
            "no room for more keys",
            Span::from_secs(10),
        ));
    }
    inbound
        .node
        .journal
        .write(Event::KeyIssued, format_args!("count={}", keys.len()));
    targets::json(
        res,
        &Issued {
            keys,
            expires_after: inbound.keys.life,
        },
    );
    inbound.mark(res.headers_mut(), Outcome::Answered);
    Ok(())
}

/// Runs a keyed request, or answers it with the recorded result of an earlier run.
///
/// # Errors
///
/// Returns the refusal, which states whether the request with this key has run.
pub async fn serve(
    inbound: &Arc<Inbound>,
    sender: &Identity,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Refusal> {
    let key = http::parse::<Key>(req.headers(), answer::KEY)
        .ok_or_else(|| Refusal::rejected(400, "the idempotency key is none of this system"))?;
    if key.node != inbound.node.settings.node || key.incarnation != inbound.node.incarnation() {
        let reason =
            "the process that held the key is gone; what became of its request is not known";
        return Err(refused(inbound, Refusal::unknown(410, reason)));
    }
    let onward = Onward::of(req);
    let service = http::get(req.headers(), answer::SERVICE)
        .unwrap_or_default()
        .to_owned();
    let idle = inbound.node.settings.requests.idle_timeout;
    let pieces = http::request_pieces(req.take_body(), Size::from_bytes(MAX_BODY as u64), idle);
    let body = http::whole(pieces, MAX_BODY, inbound.node.bodies.open()).await;
    // An earlier request with the same key may have run, also if there is no memory for this one.
    let (body, hold) = body.map_err(|error| match http::is_full(&error) {
        true => Refusal {
            retry_after: Some(memory::RETRY_AFTER),
            ..Refusal::unknown(503, error.to_string())
        },
        false => Refusal::unknown(400, "the body of the keyed request did not arrive whole"),
    })?;
    let digest = digest(&service, &onward, &body);
    let begin = inbound
        .keys
        .ledger
        .lock()
        .begin(key.secret, digest, inbound.node.uptime_ms());
    let record = match begin {
        KeyedDecision::Ended(record) => record,
        KeyedDecision::Refuse(refusal) => return Err(refused(inbound, refusal)),
        KeyedDecision::Join(mut end) => {
            let ended = tokio::time::timeout(wait(req), end.wait_for(Option::is_some)).await;
            let record = ended.ok().and_then(|ended| ended.ok()?.clone());
            record.ok_or_else(|| Refusal::unknown(504, "the request under this key still runs"))?
        }
        KeyedDecision::Run => {
            let visit = inbound.receive(sender, req.headers());
            return run(inbound, visit, res, key, onward, (body, hold)).await;
        }
    };
    inbound
        .node
        .journal
        .write(Event::Replayed, format_args!("key={key}"));
    write(inbound, record, Outcome::Recorded, res)
}

/// Returns the time until the deadline of `req`, one second if it has none.
fn wait(req: &Request) -> Duration {
    Duration::from_millis(http::parse(req.headers(), answer::DEADLINE).unwrap_or(1000))
}

/// Runs a keyed request in a separate task, so that it runs to its end even if the
/// caller disconnects. A repeat then gets the recorded answer.
async fn run(
    inbound: &Arc<Inbound>,
    visit: Result<Visit, Refusal>,
    res: &mut Response,
    key: Key,
    onward: Onward,
    (body, hold): (Bytes, Hold),
) -> Result<(), Refusal> {
    let task = {
        let inbound = inbound.clone();
        async move {
            let record = match visit {
                Ok(visit) => attempt(&inbound, &visit, onward, body).await,
                Err(refusal) => Record::NotRun(refusal),
            };
            inbound.keys.ledger.lock().end(key.secret, record.clone());
            drop(hold);
            record
        }
    };
    let record = tokio::spawn(task).await;
    let record = record.map_err(|_| Refusal::unknown(500, "the run was broken off"))?;
    write(inbound, record, Outcome::Answered, res)
}

/// Sends a keyed request to the target and returns the result to record.
async fn attempt(inbound: &Inbound, visit: &Visit, onward: Onward, body: Bytes) -> Record {
    let _permit = match inbound.admit(visit).await {
        Ok(permit) => permit,
        Err(refusal) => return Record::NotRun(refusal),
    };
    let response = match inbound.run(visit, onward, body.into()).await {
        Ok(response) => response,
        Err(http::Failure::NotSent) => {
            return Record::NotRun(http::Failure::NotSent.refusal("target"));
        }
        Err(_) => return Record::Unknown,
    };
    let (status, headers) = (
        response.status().as_u16(),
        http::passed_on(response.headers()),
    );
    let length = response.content_length();
    if length.is_some_and(|length| length > MAX_ANSWER as u64) {
        return Record::TooLarge;
    }
    let idle = inbound.node.settings.requests.idle_timeout;
    let pieces = http::response_pieces(response, idle);
    // The request has run, so its answer isn't given up for others.
    let hold = inbound.node.bodies.open_lasting();
    match http::whole(pieces, MAX_ANSWER, hold).await {
        // The ledger bounds what it keeps by itself.
        Ok((body, _hold)) => Record::Answered(Arc::new(Answer {
            status,
            headers,
            body,
        })),
        Err(_) => Record::Unknown,
    }
}

/// Writes the result of a keyed request to `res`, or returns its refusal.
fn write(
    inbound: &Inbound,
    record: Record,
    outcome: Outcome,
    res: &mut Response,
) -> Result<(), Refusal> {
    let answer = match record {
        Record::Answered(answer) => answer,
        Record::NotRun(refusal) => return Err(refusal),
        Record::Unknown => {
            let reason = "the request may have run; its answer was lost";
            return Err(refused(inbound, Refusal::unknown(502, reason)));
        }
        Record::TooLarge => {
            let reason = "the request ran; its answer was too large to be kept";
            return Err(refused(inbound, Refusal::unknown(502, reason)));
        }
    };
    res.status_code(::http::StatusCode::from_u16(answer.status).unwrap_or_default());
    *res.headers_mut() = answer.headers.clone();
    inbound.mark(res.headers_mut(), outcome);
    res.replace_body(ResBody::Once(answer.body.clone()));
    Ok(())
}

/// Logs a refusal of a keyed request and returns it.
fn refused(inbound: &Inbound, refusal: Refusal) -> Refusal {
    inbound
        .node
        .journal
        .write(Event::KeyRefused, format_args!("reason={}", refusal.reason));
    refusal
}

/// Returns the hash that distinguishes a repeat from a different request with the same
/// key.
fn digest(service: &str, onward: &Onward, body: &[u8]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in [service, onward.method.as_str(), &onward.path] {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(body);
    hasher.digest()
}
