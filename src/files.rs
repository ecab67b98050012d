//! Configuration files, which operators keep under version control.
//!
//! A file is JSON with comments: an array of resources, each with its `kind`.
//! Several files together form one configuration.

use std::path::{Path, PathBuf};

use crate::{
    document::{Document, Fault},
    state::{
        change::Op,
        check::{Problem, ResourceSet},
        resource::{Key, Kind, Resource},
        version::Version,
    },
};

/// The resources of one or more files, each with its position for error messages.
#[derive(Clone, Debug, Default)]
pub struct Files {
    documents: Vec<Document>,
    entries: Vec<Entry>,
}

/// A resource and its position: an item of one of the documents.
#[derive(Clone, Debug)]
struct Entry {
    resource: Resource,
    document_index: usize,
    item_index: usize,
}

impl Files {
    /// Reads the files at `paths` and checks them as a whole configuration.
    ///
    /// # Errors
    ///
    /// All faults that were found, not only the first.
    pub fn read(paths: &[PathBuf]) -> Result<Self, Vec<Fault>> {
        let (documents, faults) = read_documents(paths);
        Self::from_documents(documents, faults)
    }

    /// Reads the files at `paths` as a part of a configuration.
    ///
    /// References to resources outside the files are not checked here, because
    /// the resources may be in force already. The daemon checks them.
    ///
    /// # Errors
    ///
    /// All faults that can be found in the files alone.
    pub fn read_partial(paths: &[PathBuf]) -> Result<Self, Vec<Fault>> {
        let (documents, faults) = read_documents(paths);
        let (files, faults) = Self::decode_all(documents, faults);
        ok_if_faultless(files, faults)
    }

    /// Decodes `documents` and checks them as a whole configuration.
    ///
    /// # Errors
    ///
    /// All faults that were found, after the given `faults` of earlier steps.
    pub fn from_documents(
        documents: Vec<Document>,
        faults: Vec<Fault>,
    ) -> Result<Self, Vec<Fault>> {
        let (files, mut faults) = Self::decode_all(documents, faults);
        files.check_as_whole(&mut faults);
        ok_if_faultless(files, faults)
    }

    /// Decodes the resources of all documents and checks for duplicates. Faults
    /// are appended to `faults`.
    fn decode_all(documents: Vec<Document>, mut faults: Vec<Fault>) -> (Self, Vec<Fault>) {
        let mut files = Self {
            documents,
            entries: Vec::new(),
        };
        for document_index in 0..files.documents.len() {
            files.decode_document(document_index, &mut faults);
        }
        files.check_duplicates(&mut faults);
        (files, faults)
    }

    /// Decodes the resources of one document, without checking for duplicates or
    /// unresolved references.
    ///
    /// # Errors
    ///
    /// All faults of decoding.
    pub fn decode_resources(document: &Document) -> Result<Vec<Resource>, Vec<Fault>> {
        let mut files = Self {
            documents: vec![document.clone()],
            entries: Vec::new(),
        };
        let mut faults = Vec::new();
        files.decode_document(0, &mut faults);
        let resources = files
            .entries
            .into_iter()
            .map(|entry| entry.resource)
            .collect();
        ok_if_faultless(resources, faults)
    }

    fn decode_document(&mut self, document_index: usize, faults: &mut Vec<Fault>) {
        let document = &self.documents[document_index];
        let Some(items) = document.value.as_array() else {
            faults.push(document.fault(&[], "must be an array of resources"));
            return;
        };
        for (item_index, item) in items.iter().enumerate() {
            match decode_resource(document, item_index, item) {
                Ok(resource) => self.entries.push(Entry {
                    resource,
                    document_index,
                    item_index,
                }),
                Err(fault) => faults.push(fault),
            }
        }
    }

    fn check_duplicates(&self, faults: &mut Vec<Fault>) {
        for (i, entry) in self.entries.iter().enumerate() {
            let key = entry.resource.key();
            if self.entries[..i]
                .iter()
                .any(|other| other.resource.key() == key)
            {
                faults.push(self.fault(entry, "name", format!("{key} is defined twice")));
            }
        }
    }

    /// Checks the resources as a whole configuration.
    fn check_as_whole(&self, faults: &mut Vec<Fault>) {
        let problems = ResourceSet::default()
            .apply(&self.ops(), Version::default())
            .err();
        let problems = problems.unwrap_or_default();
        faults.extend(problems.iter().filter_map(|problem| self.locate(problem)));
    }

    /// Returns a fault at a field of `entry`, or at the whole entry if `field` is empty.
    fn fault(&self, entry: &Entry, field: &str, message: String) -> Fault {
        let item_index = entry.item_index.to_string();
        let path: Vec<&str> = [item_index.as_str(), field]
            .into_iter()
            .filter(|segment| !segment.is_empty())
            .collect();
        self.documents[entry.document_index].fault(&path, message)
    }

    /// Returns `problem` as a fault with its file and line, or `None` if it is
    /// not about a resource of these files.
    pub fn locate(&self, problem: &Problem) -> Option<Fault> {
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

    /// Returns a put operation for each resource.
    pub fn ops(&self) -> Vec<Op> {
        self.entries
            .iter()
            .map(|entry| Op::Put(entry.resource.clone()))
            .collect()
    }

    /// Returns the resources in the order of the files.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.entries.iter().map(|entry| &entry.resource)
    }

    /// Returns warnings about valid resources that are probably mistakes: unused
    /// ones, and boundaries whose selectors match no failure domain.
    ///
    /// Returns none if the resources have faults as a whole configuration.
    pub fn warnings(&self) -> Vec<Fault> {
        let mut set = ResourceSet::default();
        if set.apply(&self.ops(), Version::default()).is_err() {
            return Vec::new();
        }
        let is_used = |entry: &Entry| match &entry.resource {
            Resource::Boundary(boundary) => set
                .services()
                .any(|other| boundary.services.matches(&other.labels)),
            Resource::Service(service) => set.routes().any(|route| route.service == service.name),
            Resource::Policy(policy) => set.services().any(|service| service.policy == policy.name),
            Resource::Domain(_) | Resource::Route(_) => true,
        };
        let mut warnings = Vec::new();
        for entry in &self.entries {
            let mut warn = |field, message: &str| {
                let message = format!("{}: {message}", entry.resource.key());
                warnings.push(self.fault(entry, field, message));
            };
            if !is_used(entry) {
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

/// Returns `value` if there are no faults.
fn ok_if_faultless<T>(value: T, faults: Vec<Fault>) -> Result<T, Vec<Fault>> {
    if faults.is_empty() {
        Ok(value)
    } else {
        Err(faults)
    }
}

/// Returns the documents at `paths` that could be read, and the faults of the others.
fn read_documents(paths: &[PathBuf]) -> (Vec<Document>, Vec<Fault>) {
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

/// Decodes the item at `item_index` of a document.
fn decode_resource(
    document: &Document,
    item_index: usize,
    item: &serde_json::Value,
) -> Result<Resource, Fault> {
    let item_index = item_index.to_string();
    let path = [item_index.as_str()];
    let Some(object) = item.as_object() else {
        return Err(document.fault(&path, "must be an object"));
    };
    let kind = object.get("kind").and_then(serde_json::Value::as_str);
    let Some(kind) = kind else {
        return Err(document.fault(&path, "`kind` is missing"));
    };
    let kind: Kind = kind
        .parse()
        .map_err(|error| document.fault(&[&item_index, "kind"], format!("{error}")))?;
    let mut fields = object.clone();
    fields.remove("kind");
    let fields = serde_json::Value::Object(fields);
    match kind {
        Kind::Domain => document.decode(&path, &fields).map(Resource::Domain),
        Kind::Policy => document.decode(&path, &fields).map(Resource::Policy),
        Kind::Service => document.decode(&path, &fields).map(Resource::Service),
        Kind::Boundary => document.decode(&path, &fields).map(Resource::Boundary),
        Kind::Route => document.decode(&path, &fields).map(Resource::Route),
    }
}

/// The difference between files and the configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Difference {
    /// Resources that are only in the files.
    pub added: Vec<Key>,
    /// Resources that are in both but differ.
    pub changed: Vec<Key>,
    /// Resources that are in force but not in the files.
    pub removed: Vec<Key>,
}

impl Difference {
    /// Returns the difference between `files` and `current`, the resources in force.
    pub fn between<'a>(files: &Files, current: impl Iterator<Item = &'a Resource>) -> Self {
        let current: std::collections::BTreeMap<Key, &Resource> =
            current.map(|resource| (resource.key(), resource)).collect();
        let mut difference = Self::default();
        for resource in files.resources() {
            match current.get(&resource.key()) {
                None => difference.added.push(resource.key()),
                Some(other) if *other != resource => difference.changed.push(resource.key()),
                Some(_) => {}
            }
        }
        let file_keys: Vec<Key> = files.resources().map(Resource::key).collect();
        difference.removed = current
            .into_keys()
            .filter(|key| !file_keys.contains(key))
            .collect();
        difference
    }

    /// Returns whether there is no difference.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.changed.is_empty() && self.removed.is_empty()
    }
}
