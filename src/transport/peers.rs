//! The exchange of frames with other nodes.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use futures_util::{FutureExt, StreamExt, stream};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, http::ResBody};

use crate::{
    coordination::{Error, catchup, gossip, interface::Call, log_reader, node::Node},
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

/// Returns the function that sends a frame to another node.
///
/// # Errors
///
/// Returns an error if a key or certificate is invalid.
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

/// Sends a frame and returns the reply.
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
    let is_valid = http::check_response(&::http::Method::POST, &response).is_ok();
    if !is_valid || !response.status().is_success() {
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

/// Returns `Unreachable` if the connection failed, so that nothing was sent, and
/// `NoAnswer` otherwise.
pub fn classify(error: &reqwest::Error, to: &str) -> Error {
    if error.is_connect() {
        Error::Unreachable(to.into())
    } else {
        Error::NoAnswer(to.into())
    }
}

/// Returns the routes on which this node receives frames.
pub fn router(node: Arc<Node>, call: Call) -> Router {
    Router::with_path(wire::PATH.trim_start_matches('/')).post(FrameHandler { node, call })
}

/// Returns whether to accept a member record from `sender`. A record of the sender itself
/// must give the failure domain that was confirmed for the sender.
fn is_valid_claim(member: &Member, sender: &Identity) -> bool {
    member.node != sender.node || member.domain == sender.domain
}

/// The delay, before jitter, after which a peer may repeat a request whose large
/// reply got no permit.
const RETRY_DELAY: Span = Span::from_millis(300);

/// The size in bytes of the pieces in which a large reply is passed to the
/// connection.
const PIECE_BYTES: usize = 64 << 10;

/// Splits a body into pieces, so that its permit is held until most of it is sent.
fn pieces(body: Bytes) -> Vec<std::io::Result<Bytes>> {
    let starts = (0..body.len()).step_by(PIECE_BYTES);
    starts
        .map(|start| Ok(body.slice(start..body.len().min(start + PIECE_BYTES))))
        .collect()
}

/// The HTTP handler of frames.
struct FrameHandler {
    node: Arc<Node>,
    call: Call,
}

#[salvo::async_trait]
impl Handler for FrameHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Ok(sender) = identity::of(req, &self.node.settings.security) else {
            res.status_code(::http::StatusCode::FORBIDDEN);
            return;
        };
        let max = Size::from_bytes(wire::MAX_FRAME as u64);
        let pieces = http::request_pieces(req.take_body(), max, Span::from_secs(5));
        let read = http::whole(pieces, wire::MAX_FRAME, self.node.messages.open()).await;
        let Ok((body, _hold)) = read else {
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

impl FrameHandler {
    /// Processes a frame from `sender` and returns the reply.
    async fn reply(&self, sender: &Identity, frame: Frame) -> Result<Reply, Error> {
        let Self { node, call } = self;
        match frame {
            Frame::Ping(ping_body) if ping_body.node != sender.node => {
                Err(Error::Unexpected(sender.node.to_string()))
            }
            Frame::Ping(mut ping_body) => {
                ping_body
                    .members
                    .retain(|member| is_valid_claim(member, sender));
                Ok(gossip::answer_ping(node, call, ping_body))
            }
            Frame::PingFor(peer) => {
                Ok(Reply::Reached(gossip::ping(node, call, peer).await.is_ok()))
            }
            Frame::Sync(hashes) => Ok(self.compare(&hashes)),
            Frame::Tell(mut members) => {
                members.retain(|member| is_valid_claim(member, sender));
                node.merge_members(members);
                Ok(Reply::Done)
            }
            Frame::Fetch(from) => catchup::answer_fetch(node, from).await,
            Frame::Scatter(scatter) => log_reader::receive_scatter(node, call, scatter).await,
        }
    }

    /// Writes a reply. A large one needs a permit until its last piece is passed to the
    /// connection. If none is free, the reply asks the peer to retry later.
    fn send(&self, res: &mut Response, reply: &Reply) {
        let sent = &self.node.metrics.control_bytes;
        let mut body = wire::encode(reply);
        let mut permit = None;
        if body.len() >= wire::LARGE_REPLY_BYTES {
            permit = self.node.large_replies.clone().try_acquire_owned().ok();
            if permit.is_none() {
                body = wire::encode(&Reply::Later(catchup::jitter(RETRY_DELAY)));
            }
        }
        sent.get_or_create(&SENT).inc_by(body.len() as u64);
        match permit {
            None => {
                res.replace_body(ResBody::Once(body));
            }
            Some(permit) => {
                http::set(res.headers_mut(), "content-length", body.len());
                let pieces = stream::iter(pieces(body)).inspect(move |_| {
                    let _held = &permit;
                });
                http::stream(res, pieces.boxed());
            }
        }
    }

    /// Returns the members that differ from the `hashes` of a peer's table.
    fn compare(&self, hashes: &[u32]) -> Reply {
        let table = self.node.table.read();
        let members = table
            .in_differing_buckets(hashes)
            .into_iter()
            .map(|member| member.as_ref().clone())
            .collect();
        Reply::Members {
            marks: table.bucket_hashes().to_vec(),
            members,
        }
    }
}
