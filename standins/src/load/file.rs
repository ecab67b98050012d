//! Load files: JSON with comments.

use std::time::Duration;

use rilltrack::{
    document::{Document, Fault},
    state::{priority::Priority, routing},
    unit::Span,
};
use serde::Deserialize;

use super::{Calls, Harm, Kind, Load, Reports, Service, Trouble, Waits};

/// The loads of a file and the number of seeds to replay them with.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// The loads with their names, in the order of the file.
    pub variants: Vec<(String, Load)>,
    /// The number of seeds that each load is replayed with.
    pub seeds: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    domains: usize,
    length: Span,
    warm_up: Span,
    resend_ratio: f64,
    resend_slack: f64,
    seeds: u64,
    services: Vec<ServiceEntry>,
    kinds: Vec<KindEntry>,
    variants: Vec<Variant>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceEntry {
    targets: usize,
    slots: u32,
    speeds: Vec<f64>,
    #[serde(default)]
    cold: Option<Cold>,
    /// The bandwidth of each host's link, in Mbit/s; 0 means no limit.
    #[serde(default)]
    bandwidth: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Cold {
    span: Span,
    factor: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KindEntry {
    service: usize,
    /// Zero for requests that only targets send.
    #[serde(default)]
    per_s: f64,
    #[serde(default)]
    once: bool,
    #[serde(default = "normal_priority")]
    priority: u8,
    /// The priority of the team that sends it.
    team: Option<u8>,
    work: Span,
    spread: f64,
    objective: Span,
    deadline: Span,
    worth: f64,
    #[serde(default)]
    late: f64,
    #[serde(default)]
    retries: u32,
    /// The share of its remaining time that a caller waits at most before it retries.
    #[serde(default = "any_time")]
    retry_within: f64,
    /// Whether it has no key and an anonymous route.
    #[serde(default)]
    nested: bool,
    #[serde(default)]
    calls: Option<CallsEntry>,
    /// The size of its body, in bytes.
    #[serde(default)]
    body: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CallsEntry {
    kind: usize,
    times: u32,
    share: f64,
    #[serde(default)]
    sequential: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Variant {
    name: String,
    /// A factor on the rates of the file.
    #[serde(default = "unchanged_rate")]
    rate: f64,
    /// Overrides the file's value, as does `length`.
    warm_up: Option<Span>,
    length: Option<Span>,
    /// The numbers of targets, in place of those of the services.
    targets: Option<Vec<usize>>,
    #[serde(default)]
    priorities: Priorities,
    #[serde(default)]
    waits: WaitsEntry,
    /// No load reports without it.
    reports: Option<ReportsEntry>,
    #[serde(default)]
    troubles: Vec<TroubleEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ReportsEntry {
    period: Span,
    age: Span,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TroubleEntry {
    service: usize,
    share: f64,
    from: Span,
    until: Span,
    what: HarmEntry,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum HarmEntry {
    Sheds(f64),
    Fails(f64),
    Slows(f64),
    SlowsInTurn { by: f64, every: Span },
    Limits(f64),
}

/// How the priorities of a kind's team and route are combined.
#[derive(Clone, Copy, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Priorities {
    /// By team, then by route.
    #[default]
    TeamAndRoute,
    /// The team's replaces the route's.
    Team,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WaitsEntry {
    Objective,
    #[default]
    Run,
    Reserved,
}

const fn normal_priority() -> u8 {
    1
}

const fn any_time() -> f64 {
    1.0
}

const fn unchanged_rate() -> f64 {
    1.0
}

impl Experiment {
    /// Decodes an experiment.
    ///
    /// # Errors
    ///
    /// If a field is invalid; the error names the first such field and its line.
    pub fn from_document(document: &Document) -> Result<Self, Fault> {
        let file: File = document.decode(&[], &document.value)?;
        check(document, &file)?;
        let variants = file.variants.iter();
        Ok(Self {
            variants: variants.map(|v| (v.name.clone(), file.load(v))).collect(),
            seeds: file.seeds,
        })
    }
}

/// Checks what the types don't guarantee.
fn check(document: &Document, file: &File) -> Result<(), Fault> {
    let require = |holds: bool, path: &[&str], what: &str| match holds {
        true => Ok(()),
        false => Err(document.fault(path, what)),
    };
    require(file.domains > 0, &["domains"], "is at least 1")?;
    require(file.seeds > 0, &["seeds"], "is at least 1")?;
    require(
        !file.variants.is_empty(),
        &["variants"],
        "names one at least",
    )?;
    for (i, service) in file.services.iter().enumerate() {
        let at = i.to_string();
        let has_targets = service.targets > 0 && service.slots > 0;
        require(
            has_targets,
            &["services", &at],
            "has a target and a slot at least",
        )?;
        let is_fast = !service.speeds.is_empty() && service.speeds.iter().all(|s| *s > 0.0);
        require(is_fast, &["services", &at, "speeds"], "are above zero")?;
    }
    for (i, kind) in file.kinds.iter().enumerate() {
        let at = i.to_string();
        let is_there = kind.service < file.services.len();
        require(
            is_there,
            &["kinds", &at, "service"],
            "is no service's place",
        )?;
        let callee = kind.calls.as_ref().map_or(0, |calls| calls.kind);
        let is_called = callee < file.kinds.len() && (kind.calls.is_none() || callee != i);
        require(
            is_called,
            &["kinds", &at, "calls"],
            "is no other kind's place",
        )?;
    }
    for (i, variant) in file.variants.iter().enumerate() {
        let at = i.to_string();
        let reports = variant.reports.as_ref();
        require(
            reports.is_none_or(|reports| !reports.period.duration().is_zero()),
            &["variants", &at, "reports"],
            "have a period above zero",
        )?;
        for (j, trouble) in variant.troubles.iter().enumerate() {
            let path = ["variants", &at, "troubles", &j.to_string()];
            let is_there = trouble.service < file.services.len();
            require(is_there, &path, "is at a service that is not there")?;
            require(
                (0.0..=1.0).contains(&trouble.share),
                &path,
                "has a share of 0 to 1",
            )?;
        }
    }
    Ok(())
}

impl File {
    /// Returns the priority of a kind's requests.
    fn priority(&self, entry: &KindEntry, rule: Priorities) -> Priority {
        let has_teams = self.kinds.iter().any(|kind| kind.team.is_some());
        match rule {
            Priorities::TeamAndRoute => Priority::of_request(has_teams, entry.team, entry.priority),
            Priorities::Team => Priority::of_route(entry.team.unwrap_or(entry.priority)),
        }
    }

    fn load(&self, variant: &Variant) -> Load {
        let kind = |entry: &KindEntry| Kind {
            per_s: entry.per_s * variant.rate,
            priority: self.priority(entry, variant.priorities),
            ..Kind::from(entry)
        };
        let targets = variant.targets.as_deref().unwrap_or_default();
        let service = |(number, entry): (usize, &ServiceEntry)| Service {
            targets: targets.get(number).copied().unwrap_or(entry.targets),
            ..Service::from(entry)
        };
        Load {
            domains: self.domains,
            services: self.services.iter().enumerate().map(service).collect(),
            kinds: self.kinds.iter().map(kind).collect(),
            troubles: variant.troubles.iter().map(Trouble::from).collect(),
            length: variant.length.unwrap_or(self.length).duration(),
            warm_up: variant.warm_up.unwrap_or(self.warm_up).duration(),
            resend_ratio: self.resend_ratio,
            resend_slack: self.resend_slack,
            waits: match variant.waits {
                WaitsEntry::Objective => Waits::Objective,
                WaitsEntry::Run => Waits::Run,
                WaitsEntry::Reserved => Waits::Reserved,
            },
            reports: variant.reports.as_ref().map(Reports::from),
            ..Load::default()
        }
    }
}

impl From<&ServiceEntry> for Service {
    fn from(entry: &ServiceEntry) -> Self {
        let cold = entry.cold.as_ref();
        Self {
            targets: entry.targets,
            slots: entry.slots,
            speeds: entry.speeds.clone(),
            cold: cold.map_or(Duration::ZERO, |cold| cold.span.duration()),
            cold_factor: cold.map_or(1.0, |cold| cold.factor),
            bandwidth: entry.bandwidth,
            slow_spells: None,
        }
    }
}

impl From<&ReportsEntry> for Reports {
    fn from(entry: &ReportsEntry) -> Self {
        Self {
            period: entry.period.duration(),
            age: entry.age.duration(),
        }
    }
}

impl From<&KindEntry> for Kind {
    fn from(entry: &KindEntry) -> Self {
        Self {
            service: entry.service,
            per_s: entry.per_s,
            kind: match entry.once {
                true => routing::Kind::Once,
                false => routing::Kind::Idempotent,
            },
            priority: Priority::of_route(entry.priority),
            work: entry.work.duration(),
            spread: entry.spread,
            objective: entry.objective.duration(),
            deadline: entry.deadline.duration(),
            worth: entry.worth,
            late: entry.late,
            retries: entry.retries,
            retry_within: entry.retry_within,
            is_nested: entry.nested,
            calls: entry.calls.as_ref().map(|calls| Calls {
                kind: calls.kind,
                times: calls.times,
                share: calls.share,
                is_sequential: calls.sequential,
            }),
            body: entry.body,
        }
    }
}

impl From<&TroubleEntry> for Trouble {
    fn from(entry: &TroubleEntry) -> Self {
        Self {
            service: entry.service,
            share: entry.share,
            during: entry.from.duration()..entry.until.duration(),
            what: match entry.what {
                HarmEntry::Sheds(part) => Harm::Sheds(part),
                HarmEntry::Fails(part) => Harm::Fails(part),
                HarmEntry::Slows(by) => Harm::Slows(by),
                HarmEntry::SlowsInTurn { by, every } => Harm::SlowsInTurn {
                    by,
                    every: every.duration(),
                },
                HarmEntry::Limits(per_second) => Harm::Limits(per_second),
            },
        }
    }
}
