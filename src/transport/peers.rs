//! Frames between nodes.

use std::{net::SocketAddr, sync::Arc};

use futures_util::FutureExt;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, http::ResBody};

use crate::{
    coordination::{Error, catchup, follow, gossip, link::Call, node::Node},
    metrics::{Metrics, RECEIVED, SENT},
    protocol::wire::{self, Frame, Reply},
    transport::{http, tls},
    unit::{Size, Span},
};

/// Returns the way to other nodes.
///
/// # Errors
///
/// If the keys or certificates can't be used.
pub fn call(node: Arc<Node>) -> Result<Call, super::Error> {
    let client = tls::client(&node.settings)?;
    let scheme = tls::scheme(&node.settings.security);
    let call = move |peer: SocketAddr, frame: Frame, patience: Span| {
        let (client, node) = (client.clone(), node.clone());
        let url = format!("{scheme}://{peer}{}", wire::PATH);
        async move { send(&client, &url, &frame, patience, &node.metrics).await }.boxed()
    };
    Ok(Arc::new(call))
}

async fn send(
    client: &reqwest::Client,
    url: &str,
    frame: &Frame,
    patience: Span,
    metrics: &Metrics,
) -> Result<Reply, Error> {
    let body = wire::encode(frame);
    metrics.frames.inc();
    metrics
        .control_bytes
        .get_or_create(&SENT)
        .inc_by(body.len() as u64);
    let sent = client
        .post(url)
        .timeout(patience.duration())
        .body(body)
        .send()
        .await;
    let response = sent.map_err(|error| classify(&error, url))?;
    if !response.status().is_success() {
        return Err(Error::Unexpected(url.into()));
    }
    let body = response
        .bytes()
        .await
        .map_err(|error| classify(&error, url))?;
    metrics
        .control_bytes
        .get_or_create(&RECEIVED)
        .inc_by(body.len() as u64);
    Ok(wire::decode(&body)?)
}

/// Tells an error that came before anything was sent from the others.
pub fn classify(error: &reqwest::Error, to: &str) -> Error {
    if error.is_connect() {
        Error::Unreachable(to.into())
    } else {
        Error::NoAnswer(to.into())
    }
}

/// Returns the routes on which this node takes frames.
pub fn router(node: Arc<Node>, call: Call) -> Router {
    Router::with_path(wire::PATH.trim_start_matches('/')).post(Take { node, call })
}

struct Take {
    node: Arc<Node>,
    call: Call,
}

#[salvo::async_trait]
impl Handler for Take {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let max = Size::from_bytes(wire::MAX_FRAME as u64);
        let pieces = http::request_pieces(req.take_body(), max, Span::from_secs(5));
        let Ok(body) = http::whole(pieces, wire::MAX_FRAME).await else {
            res.status_code(::http::StatusCode::BAD_REQUEST);
            return;
        };
        let bytes = &self.node.metrics.control_bytes;
        bytes.get_or_create(&RECEIVED).inc_by(body.len() as u64);
        let reply = match wire::decode(&body) {
            Ok(frame) => self.reply(frame).await,
            Err(error) => Err(error.into()),
        };
        match reply {
            Ok(reply) => {
                let body = wire::encode(&reply);
                bytes.get_or_create(&SENT).inc_by(body.len() as u64);
                res.replace_body(ResBody::Once(body));
            }
            Err(_) => {
                res.status_code(::http::StatusCode::BAD_REQUEST);
            }
        }
    }
}

impl Take {
    async fn reply(&self, frame: Frame) -> Result<Reply, Error> {
        let Self { node, call } = self;
        match frame {
            Frame::Ping(news) => Ok(gossip::answer(node, call, news)),
            Frame::PingFor(peer) => {
                Ok(Reply::Reached(gossip::ping(node, call, peer).await.is_ok()))
            }
            Frame::Sync(marks) => Ok(self.compare(&marks)),
            Frame::Tell(members) => {
                node.absorb(members);
                Ok(Reply::Done)
            }
            Frame::Fetch(from) => catchup::serve(node, from).await,
            Frame::Scatter(scatter) => follow::take(node, call, scatter).await,
        }
    }

    fn compare(&self, marks: &[u32]) -> Reply {
        let table = self.node.table.read();
        let members = table
            .differing(marks)
            .into_iter()
            .map(|member| member.as_ref().clone())
            .collect();
        Reply::Members {
            marks: table.marks().to_vec(),
            members,
        }
    }
}
