//! Asks the target on this host whether it warms up, where that isn't known: after a start of
//! this node, or after the target's failure domain had no requests for a while.
//!
//! The target's next heartbeat tells it, too, but comes after a second or more, for which a
//! target that is warm would get a fraction of its requests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{
    Request,
    header::{HOST, HeaderValue},
};

use crate::{
    coordination::{gate, host::Host},
    event::Event,
    journal::note,
    protocol::{hop::Limit, notice::Notice},
    transport::{
        http,
        relay::{
            body::Body,
            pool::{Pool, Settings},
        },
    },
    unit::Span,
};

const POOL: Settings = Settings {
    connect_timeout: Duration::from_millis(300),
    idle_timeout: Duration::from_secs(1),
    max_idle_per_address: 0,
    max_idle: 0,
};

/// How long the target may take to answer. Its heartbeat comes by then.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Asks the target each time that its warm-up isn't known; never returns.
pub async fn run(host: Arc<Host>) {
    let pool = Pool::new(POOL);
    loop {
        host.warmup_unknown.notified().await;
        let Some((target, path)) = host.unknown_warmup() else {
            continue;
        };
        if let Some((left, notice)) = ask(&host, &pool, &target, &path).await {
            host.local
                .lock()
                .set_warmup(&target.instance, left, Instant::now());
            host.set_gate();
            receive_notice(&host, &target, notice);
            note!(
                host.journal,
                Event::TargetChanged,
                instance = target.instance,
                warmup = left
            );
        }
    }
}

/// Takes in what a health answer restricts, and the slowness in it. It lifts nothing: a target may
/// state its limit in answers to requests alone.
fn receive_notice(host: &Host, target: &gate::Target, notice: Notice) {
    if let Some(rate) = notice.limit {
        host.gate.assume_limit(&Limit {
            rate,
            instance: target.instance.clone(),
        });
    }
    if let Some(slowness) = notice.slowness {
        host.gate.record_slowness(&target.instance, slowness);
    }
    if notice.is_leaving {
        host.note_leaving(&target.instance);
    }
}

/// Returns how long the target still warms up and what it states, or `None` if it doesn't
/// answer or another instance does.
async fn ask(
    host: &Host,
    pool: &Pool,
    target: &gate::Target,
    path: &str,
) -> Option<(Span, Notice)> {
    let dialect = &host.decoders.dialect;
    let mut request = Request::new(Body::whole(""));
    *request.uri_mut() = path.parse().ok()?;
    let authority = HeaderValue::from_str(&target.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, authority);
    let deadline = Instant::now() + TIMEOUT;
    let exchange = pool.send(target.address, request, deadline).await.ok()?;
    let headers = exchange.response.headers();
    let instance = http::get(headers, dialect.instance.as_str())?;
    let left = http::parse(headers, dialect.warmup.as_str()).unwrap_or(0);
    let notice = Notice::of(headers, dialect);
    (instance == target.instance.id()).then(|| (Span::from_millis(left), notice))
}
