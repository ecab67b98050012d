//! The HTTP interface for the command-line tool, with health checks and metrics.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use futures_util::{FutureExt, future::BoxFuture};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, http::ResBody};

use crate::{
    coordination::{
        interface::{Call, Log},
        memory::Memory,
        node::Node,
        publish, scatter,
    },
    id::{self, Name},
    protocol::{
        operator::{
            Checked, Convergence, Drain, Explanation, History, MemberStatus, Question, Report,
            Resources, TargetExplanation,
        },
        wire::{Payload, VersionCount},
    },
    state::{
        change::Change,
        member::{Member, Status},
        region::Distance,
        version::Version,
        view::View,
    },
    transport::{
        http, identity,
        targets::{Targets, json},
    },
    unit::{Size, Span},
};

/// The size in bytes of the largest request of the tool.
const MAX_REQUEST_BYTES: usize = 16 << 20;

/// The state that the routes share.
pub struct Desk {
    /// The node that answers.
    pub node: Arc<Node>,
    /// The function that sends frames to its peers.
    pub call: Call,
    /// The client of the platform's log.
    pub log: Log,
    /// The targets on its host.
    pub targets: Arc<Targets>,
}

type Answer<'a> = BoxFuture<'a, Result<(), String>>;
type Serve = for<'a> fn(&'a Desk, &'a mut Request, &'a mut Response) -> Answer<'a>;

/// Who may use a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Access {
    /// Operators only.
    Operators,
    /// Everyone who can connect, such as health checks and metrics collectors.
    Everyone,
}

/// A route with its access rule and function.
struct Route(Arc<Desk>, Access, Serve);

#[salvo::async_trait]
impl Handler for Route {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Self(desk, access, serve) = self;
        let security = &desk.node.settings.security;
        if *access == Access::Operators && !identity::is_operator(req, security) {
            res.status_code(::http::StatusCode::FORBIDDEN);
            res.replace_body(ResBody::Once("for operators\n".into()));
            return;
        }
        if let Err(what) = serve(desk, req, res).await {
            res.status_code(::http::StatusCode::BAD_REQUEST);
            res.replace_body(ResBody::Once(format!("{what}\n").into()));
        }
    }
}

/// Returns the routes for operators and for monitoring.
pub fn router(desk: Arc<Desk>) -> Router {
    let route =
        |path: &str, access, serve| (Router::with_path(path), Route(desk.clone(), access, serve));
    let watch = |path: &str, serve: Serve| {
        let (router, route) = route(path, Access::Everyone, serve);
        router.get(route)
    };
    let get = |path: &str, serve: Serve| {
        let (router, route) = route(path, Access::Operators, serve);
        router.get(route)
    };
    let post = |path: &str, serve: Serve| {
        let (router, route) = route(path, Access::Operators, serve);
        router.post(route)
    };
    Router::new()
        .push(watch("health", health))
        .push(watch("ready", ready))
        .push(watch("metrics", metrics))
        .push(get("status", status))
        .push(get("resources", resources))
        .push(get("history", history))
        .push(get("census", census))
        .push(post("changes", changes))
        .push(post("check", check))
        .push(post("explain", explain))
        .push(post("drain", drain))
        .push(post("recover", recover))
}

fn health<'a>(_: &'a Desk, _: &'a mut Request, res: &'a mut Response) -> Answer<'a> {
    res.replace_body(ResBody::Once("alive\n".into()));
    async { Ok(()) }.boxed()
}

fn ready<'a>(desk: &'a Desk, _: &'a mut Request, res: &'a mut Response) -> Answer<'a> {
    let text = if desk.node.is_ready() {
        format!(
            "ready version={} age_ms={}\n",
            desk.node.version(),
            desk.node.view_age_ms()
        )
    } else {
        res.status_code(::http::StatusCode::SERVICE_UNAVAILABLE);
        "not ready\n".into()
    };
    res.replace_body(ResBody::Once(text.into()));
    async { Ok(()) }.boxed()
}

fn metrics<'a>(desk: &'a Desk, _: &'a mut Request, res: &'a mut Response) -> Answer<'a> {
    desk.node
        .metrics
        .dropped_lines
        .set(desk.node.journal.dropped() as i64);
    res.replace_body(ResBody::Once(desk.node.metrics.text().into()));
    async { Ok(()) }.boxed()
}

fn status<'a>(desk: &'a Desk, _: &'a mut Request, res: &'a mut Response) -> Answer<'a> {
    async move {
        let node = &desk.node;
        let (anchor, accepted) = node
            .applier
            .inspect(|m| (m.anchor(), m.last_accepted()))
            .await
            .map_err(|error| error.to_string())?;
        let me = node.me();
        let mut members: Vec<MemberStatus> =
            node.table.read().iter().map(|member| row(member)).collect();
        members.sort_by(|a, b| (&a.domain, &a.node).cmp(&(&b.domain, &b.node)));
        let report = Report {
            node: me.node,
            incarnation: me.incarnation,
            domain: me.domain,
            ready: node.is_ready(),
            anchor,
            accepted,
            age_ms: node.view_age_ms(),
            trouble: node.log_fault().map(|trouble| trouble.to_string()),
            members,
        };
        json(res, &report);
        Ok(())
    }
    .boxed()
}

fn row(member: &Member) -> MemberStatus {
    MemberStatus {
        node: member.node.clone(),
        domain: member.domain.clone(),
        status: member.status,
        peers: member.peers,
        targets: member.targets.clone(),
    }
}

fn resources<'a>(desk: &'a Desk, req: &'a mut Request, res: &'a mut Response) -> Answer<'a> {
    async move {
        let found = match req.query::<String>("at") {
            None => {
                desk.node
                    .applier
                    .inspect(|m| (m.anchor(), m.resources().clone()))
                    .await
            }
            Some(at) => {
                let at = at.parse().map_err(|error| format!("{error}"))?;
                publish::state_at(&desk.node, &desk.log, at).await
            }
        };
        let (anchor, set) = found.map_err(|error| error.to_string())?;
        json(
            res,
            &Resources {
                anchor,
                held: set.iter().cloned().collect(),
            },
        );
        Ok(())
    }
    .boxed()
}

fn history<'a>(desk: &'a Desk, _: &'a mut Request, res: &'a mut Response) -> Answer<'a> {
    async move {
        let outcomes = desk
            .node
            .applier
            .inspect(|m| m.history().rev().cloned().collect())
            .await;
        json(
            res,
            &History {
                outcomes: outcomes.map_err(|error| error.to_string())?,
            },
        );
        Ok(())
    }
    .boxed()
}

fn census<'a>(desk: &'a Desk, req: &'a mut Request, res: &'a mut Response) -> Answer<'a> {
    async move {
        let version = req.query::<String>("version").ok_or("version is missing")?;
        let version: Version = version.parse().map_err(|error| format!("{error}"))?;
        let census = count(desk, version).await;
        let lagging = names(&desk.node, &census);
        json(
            res,
            &Convergence {
                version,
                census,
                lagging,
            },
        );
        Ok(())
    }
    .boxed()
}

/// Returns how many present members have `version` or a newer one in force, and how
/// many are behind or did not answer.
async fn count(desk: &Desk, version: Version) -> VersionCount {
    let node = &desk.node;
    let slice: Vec<SocketAddr> = {
        let table = node.table.read();
        let others = table
            .iter()
            .filter(|m| m.node != node.settings.node && m.status != Status::Gone);
        others.map(|m| m.peers).collect()
    };
    let mut census = scatter::scatter(
        desk.call.clone(),
        node.peers,
        Payload::Count { version },
        slice,
    )
    .await;
    if node.version() >= version {
        census.current += 1;
    } else {
        census.behind += 1;
        census.add_named(node.peers);
    }
    census
}

/// Returns the names of the nodes whose addresses `census` contains.
fn names(node: &Node, census: &VersionCount) -> Vec<id::Node> {
    let table = node.table.read();
    let named = |peers: &SocketAddr| {
        table
            .iter()
            .find(|m| m.peers == *peers)
            .map(|m| m.node.clone())
    };
    census.named.iter().filter_map(named).collect()
}

/// Returns the decoded JSON body of a request.
async fn body<T: serde::de::DeserializeOwned>(
    memory: &Arc<Memory>,
    req: &mut Request,
) -> Result<T, String> {
    let max = Size::from_bytes(MAX_REQUEST_BYTES as u64);
    let pieces = http::request_pieces(req.take_body(), max, Span::from_secs(5));
    let (body, _hold) = http::whole(pieces, MAX_REQUEST_BYTES, memory.open())
        .await
        .map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

fn changes<'a>(desk: &'a Desk, req: &'a mut Request, res: &'a mut Response) -> Answer<'a> {
    async move {
        let change: Change = body(&desk.node.messages, req).await?;
        let published = publish::publish(&desk.node, &desk.log, change).await;
        json(res, &published.map_err(|error| error.to_string())?);
        Ok(())
    }
    .boxed()
}

fn check<'a>(desk: &'a Desk, req: &'a mut Request, res: &'a mut Response) -> Answer<'a> {
    async move {
        let change: Change = body(&desk.node.messages, req).await?;
        let problems = publish::check(&desk.node, &change)
            .await
            .map_err(|error| error.to_string())?;
        json(res, &Checked { problems });
        Ok(())
    }
    .boxed()
}

fn explain<'a>(desk: &'a Desk, req: &'a mut Request, res: &'a mut Response) -> Answer<'a> {
    async move {
        let question: Question = body(&desk.node.messages, req).await?;
        let view = desk.node.require_view().map_err(|refusal| refusal.reason)?;
        json(res, &explanation(&desk.node, &view, &question));
        Ok(())
    }
    .boxed()
}

/// Returns the route for the request in `question`, and which targets may get it.
fn explanation(node: &Node, view: &View, question: &Question) -> Explanation {
    let route = view.route(question.host.as_deref(), &question.path, &question.method);
    let service = route.and_then(|route| view.service(&route.service));
    let targets = service.map_or_else(Vec::new, |service| {
        let table = node.table.read();
        table
            .providers(&service.name)
            .iter()
            .map(|m| judgement(m, &service.name, &service.allowed))
            .collect()
    });
    let route = route.map(|route| (route.name.clone(), route.service.clone()));
    Explanation {
        version: view.version,
        route,
        targets,
    }
}

/// Returns whether requests to `service` may be sent to the target of `member`, and
/// why.
fn judgement(
    member: &Member,
    service: &Name,
    allowed: &BTreeMap<Name, Distance>,
) -> TargetExplanation {
    let draining = member
        .targets
        .iter()
        .any(|t| t.service == *service && t.draining);
    let (ok, why) = match member.status {
        _ if !allowed.contains_key(&member.domain) => {
            (false, "no boundary lets requests go to its failure domain")
        }
        Status::Leaving | Status::Gone => (false, "its node is leaving or gone"),
        _ if draining => (false, "it is draining"),
        Status::Suspect => (true, "allowed; its node has not answered lately"),
        Status::Alive => (true, "allowed"),
    };
    TargetExplanation {
        node: member.node.clone(),
        domain: member.domain.clone(),
        allowed: ok,
        why: why.into(),
    }
}

fn drain<'a>(desk: &'a Desk, req: &'a mut Request, res: &'a mut Response) -> Answer<'a> {
    async move {
        let drain: Drain = body(&desk.node.messages, req).await?;
        desk.targets.drain(drain.service.as_ref()).await;
        json(res, &desk.node.me().targets);
        Ok(())
    }
    .boxed()
}

fn recover<'a>(desk: &'a Desk, req: &'a mut Request, res: &'a mut Response) -> Answer<'a> {
    async move {
        let author = req.query::<String>("author").unwrap_or_default();
        let version = publish::recover(&desk.node, &desk.log, author).await;
        json(res, &version.map_err(|error| error.to_string())?);
        Ok(())
    }
    .boxed()
}
