//! Configuration files, as operators keep them under version control.
//!
//! A file is an array of resources, JSON with comments; each names its
//! `kind`. Several files together are one configuration.

use std::path::{Path, PathBuf};

use crate::{
    document::{Document, Fault},
    state::{
        change::Op,
        check::{Problem, Set},
        resource::{Key, Kind, Resource},
        version::Version,
    },
};

/// The resources of some files, each with its place.
#[derive(Clone, Debug, Default)]
pub struct Files {
    documents: Vec<Document>,
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    resource: Resource,
    document: usize,
    index: usize,
}

impl Files {
    /// Reads the files at `paths`, checked as if they were the whole
    /// configuration.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with them, not just the first.
    pub fn read(paths: &[PathBuf]) -> Result<Self, Vec<Fault>> {
        let (documents, faults) = documents(paths);
        Self::from_documents(documents, faults)
    }

    /// Reads the files at `paths` as a part of the configuration: what they
    /// refer to may be in force already, which a daemon has to check.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with them by themselves.
    pub fn read_part(paths: &[PathBuf]) -> Result<Self, Vec<Fault>> {
        let (documents, faults) = documents(paths);
        let (files, faults) = Self::collect_all(documents, faults);
        unless_faulty(files, faults)
    }

    /// Reads the documents as the whole configuration; what is wrong adds to
    /// `faults` found before.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with them.
    pub fn from_documents(
        documents: Vec<Document>,
        faults: Vec<Fault>,
    ) -> Result<Self, Vec<Fault>> {
        let (files, mut faults) = Self::collect_all(documents, faults);
        files.check_whole(&mut faults);
        unless_faulty(files, faults)
    }

    fn collect_all(documents: Vec<Document>, mut faults: Vec<Fault>) -> (Self, Vec<Fault>) {
        let mut files = Self {
            documents,
            entries: Vec::new(),
        };
        for document in 0..files.documents.len() {
            files.collect(document, &mut faults);
        }
        files.check_twins(&mut faults);
        (files, faults)
    }

    /// Decodes the resources of one document, without checking them against
    /// each other.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with them.
    pub fn parse_only(document: &Document) -> Result<Vec<Resource>, Vec<Fault>> {
        let mut files = Self {
            documents: vec![document.clone()],
            entries: Vec::new(),
        };
        let mut faults = Vec::new();
        files.collect(0, &mut faults);
        let resources = files
            .entries
            .into_iter()
            .map(|entry| entry.resource)
            .collect();
        unless_faulty(resources, faults)
    }

    fn collect(&mut self, at: usize, faults: &mut Vec<Fault>) {
        let document = &self.documents[at];
        let Some(items) = document.value.as_array() else {
            faults.push(document.fault(&[], "must be an array of resources"));
            return;
        };
        for (index, item) in items.iter().enumerate() {
            match resource(document, index, item) {
                Ok(resource) => self.entries.push(Entry {
                    resource,
                    document: at,
                    index,
                }),
                Err(fault) => faults.push(fault),
            }
        }
    }

    fn check_twins(&self, faults: &mut Vec<Fault>) {
        for (i, entry) in self.entries.iter().enumerate() {
            let key = entry.resource.key();
            if self.entries[..i]
                .iter()
                .any(|other| other.resource.key() == key)
            {
                faults.push(self.fault(entry, "name", format!("{key} is there twice")));
            }
        }
    }

    /// Checks the resources against each other, as if they were all there is.
    fn check_whole(&self, faults: &mut Vec<Fault>) {
        let problems = Set::default().apply(&self.ops(), Version::default()).err();
        let problems = problems.unwrap_or_default();
        faults.extend(problems.iter().filter_map(|problem| self.place(problem)));
    }

    fn fault(&self, entry: &Entry, field: &str, what: String) -> Fault {
        let index = entry.index.to_string();
        let path: Vec<&str> = [index.as_str(), field]
            .into_iter()
            .filter(|step| !step.is_empty())
            .collect();
        self.documents[entry.document].fault(&path, what)
    }

    /// Returns a problem with its place in the files, if it is about one of
    /// their resources.
    pub fn place(&self, problem: &Problem) -> Option<Fault> {
        let entry = self
            .entries
            .iter()
            .find(|entry| entry.resource.key() == problem.key)?;
        Some(self.fault(
            entry,
            &problem.field,
            format!("{}: {}", problem.key, problem.what),
        ))
    }

    /// Returns operations that put every resource.
    pub fn ops(&self) -> Vec<Op> {
        self.entries
            .iter()
            .map(|entry| Op::Put(entry.resource.clone()))
            .collect()
    }

    /// Returns the resources.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.entries.iter().map(|entry| &entry.resource)
    }

    /// Returns warnings: what is allowed but hardly meant.
    pub fn warnings(&self) -> Vec<Fault> {
        let mut set = Set::default();
        if set.apply(&self.ops(), Version::default()).is_err() {
            return Vec::new();
        }
        let used = |entry: &Entry| match &entry.resource {
            Resource::Boundary(boundary) => {
                set.services().any(|s| boundary.services.matches(&s.labels))
            }
            Resource::Service(service) => set.routes().any(|r| r.service == service.name),
            Resource::Policy(policy) => set.services().any(|s| s.policy == policy.name),
            Resource::Domain(_) | Resource::Route(_) => true,
        };
        let mut warnings = Vec::new();
        for entry in &self.entries {
            let mut warn = |field, what: &str| {
                let what = format!("{}: {what}", entry.resource.key());
                warnings.push(self.fault(entry, field, what));
            };
            if !used(entry) {
                warn("", "nothing uses it");
            }
            if let Resource::Boundary(boundary) = &entry.resource {
                for (field, selector) in [("from", &boundary.from), ("to", &boundary.to)] {
                    if !set.domains().any(|domain| selector.matches(&domain.labels)) {
                        warn(field, "selects no failure domain");
                    }
                }
            }
        }
        warnings
    }
}

/// Returns `read` if there were no faults in it.
fn unless_faulty<T>(read: T, faults: Vec<Fault>) -> Result<T, Vec<Fault>> {
    if faults.is_empty() {
        Ok(read)
    } else {
        Err(faults)
    }
}

/// Reads documents; those that can't be read are faults.
fn documents(paths: &[PathBuf]) -> (Vec<Document>, Vec<Fault>) {
    let mut documents = Vec::new();
    let mut faults = Vec::new();
    for path in paths {
        match Document::read(Path::new(path)) {
            Ok(document) => documents.push(document),
            Err(fault) => faults.push(fault),
        }
    }
    (documents, faults)
}

/// Decodes one item of a file.
fn resource(
    document: &Document,
    index: usize,
    item: &serde_json::Value,
) -> Result<Resource, Fault> {
    let index = index.to_string();
    let path = [index.as_str()];
    let Some(object) = item.as_object() else {
        return Err(document.fault(&path, "must be an object"));
    };
    let kind = object.get("kind").and_then(serde_json::Value::as_str);
    let Some(kind) = kind else {
        return Err(document.fault(&path, "`kind` is missing"));
    };
    let kind: Kind = kind
        .parse()
        .map_err(|error| document.fault(&[&index, "kind"], format!("{error}")))?;
    let mut rest = object.clone();
    rest.remove("kind");
    let rest = serde_json::Value::Object(rest);
    match kind {
        Kind::Domain => document.decode(&path, &rest).map(Resource::Domain),
        Kind::Policy => document.decode(&path, &rest).map(Resource::Policy),
        Kind::Service => document.decode(&path, &rest).map(Resource::Service),
        Kind::Boundary => document.decode(&path, &rest).map(Resource::Boundary),
        Kind::Route => document.decode(&path, &rest).map(Resource::Route),
    }
}

/// What differs between files and the configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Difference {
    /// Resources that are only in the files.
    pub added: Vec<Key>,
    /// Resources that differ.
    pub changed: Vec<Key>,
    /// Resources that are only in force.
    pub removed: Vec<Key>,
}

impl Difference {
    /// Returns the difference between `files` and the resources in force.
    pub fn between<'a>(files: &Files, held: impl Iterator<Item = &'a Resource>) -> Self {
        let held: std::collections::BTreeMap<Key, &Resource> = held.map(|r| (r.key(), r)).collect();
        let mut difference = Self::default();
        for resource in files.resources() {
            match held.get(&resource.key()) {
                None => difference.added.push(resource.key()),
                Some(old) if *old != resource => difference.changed.push(resource.key()),
                Some(_) => {}
            }
        }
        let kept: Vec<Key> = files.resources().map(Resource::key).collect();
        difference.removed = held.into_keys().filter(|key| !kept.contains(key)).collect();
        difference
    }

    /// Returns whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.changed.is_empty() && self.removed.is_empty()
    }
}
