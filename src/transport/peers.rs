//! Frames between nodes.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use futures_util::{FutureExt, StreamExt, stream};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, http::ResBody};

use crate::{
    coordination::{Error, catchup, follow, gossip, interface::Call, node::Node},
    metrics::{Metrics, RECEIVED, SENT},
    protocol::wire::{self, Frame, Reply},
    state::member::Member,
    transport::{
        http,
        identity::{self, Identity},
        tls,
    },
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

/// Returns whether what `sender` says of a member can be believed: of itself,
/// only the failure domain that it was confirmed to be in.
fn is_honest(member: &Member, sender: &Identity) -> bool {
    member.node != sender.node || member.domain == sender.domain
}

/// How long a peer stays away that asked for a large reply in vain.
const BUSY: Span = Span::from_millis(300);

/// Bytes of a large reply that are handed to the connection at a time.
const PIECE: usize = 64 << 10;

/// Splits a body so that leave to send it is held until nearly its end.
fn pieces(body: Bytes) -> Vec<std::io::Result<Bytes>> {
    let starts = (0..body.len()).step_by(PIECE);
    starts
        .map(|start| Ok(body.slice(start..body.len().min(start + PIECE))))
        .collect()
}

struct Take {
    node: Arc<Node>,
    call: Call,
}

#[salvo::async_trait]
impl Handler for Take {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Ok(sender) = identity::of(req, &self.node.settings.security) else {
            res.status_code(::http::StatusCode::FORBIDDEN);
            return;
        };
        let max = Size::from_bytes(wire::MAX_FRAME as u64);
        let pieces = http::request_pieces(req.take_body(), max, Span::from_secs(5));
        let Ok(body) = http::whole(pieces, wire::MAX_FRAME).await else {
            res.status_code(::http::StatusCode::BAD_REQUEST);
            return;
        };
        let bytes = &self.node.metrics.control_bytes;
        bytes.get_or_create(&RECEIVED).inc_by(body.len() as u64);
        let reply = match wire::decode(&body) {
            Ok(frame) => self.reply(&sender, frame).await,
            Err(error) => Err(error.into()),
        };
        match reply {
            Ok(reply) => self.send(res, &reply),
            Err(_) => {
                res.status_code(::http::StatusCode::BAD_REQUEST);
            }
        }
    }
}

impl Take {
    async fn reply(&self, sender: &Identity, frame: Frame) -> Result<Reply, Error> {
        let Self { node, call } = self;
        match frame {
            Frame::Ping(news) if news.node != sender.node => {
                Err(Error::Unexpected(sender.node.to_string()))
            }
            Frame::Ping(mut news) => {
                news.members.retain(|member| is_honest(member, sender));
                Ok(gossip::answer(node, call, news))
            }
            Frame::PingFor(peer) => {
                Ok(Reply::Reached(gossip::ping(node, call, peer).await.is_ok()))
            }
            Frame::Sync(marks) => Ok(self.compare(&marks)),
            Frame::Tell(mut members) => {
                members.retain(|member| is_honest(member, sender));
                node.absorb(members);
                Ok(Reply::Done)
            }
            Frame::Fetch(from) => catchup::serve(node, from).await,
            Frame::Scatter(scatter) => follow::take(node, call, scatter).await,
        }
    }

    /// Writes a reply. A large one needs leave until its last byte is sent;
    /// without leave the peer is told to come back.
    fn send(&self, res: &mut Response, reply: &Reply) {
        let sent = &self.node.metrics.control_bytes;
        let mut body = wire::encode(reply);
        let mut leave = None;
        if body.len() >= wire::LARGE_REPLY_BYTES {
            leave = self.node.large_replies.clone().try_acquire_owned().ok();
            if leave.is_none() {
                body = wire::encode(&Reply::Later(catchup::jitter(BUSY)));
            }
        }
        sent.get_or_create(&SENT).inc_by(body.len() as u64);
        match leave {
            None => {
                res.replace_body(ResBody::Once(body));
            }
            Some(leave) => {
                http::set(res.headers_mut(), "content-length", body.len());
                let pieces = stream::iter(pieces(body)).inspect(move |_| {
                    let _held = &leave;
                });
                http::stream(res, pieces.boxed());
            }
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
