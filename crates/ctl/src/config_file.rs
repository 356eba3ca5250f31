//! Configuration files, which define classes, models and services for publication.

use std::collections::BTreeMap;

use apricotdale_core::config::ClassTarget;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::config::ServiceSpec;
use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_settings::Document;
use apricotdale_settings::Problem;
use apricotdale_settings::Section;

const ALLOWED_SECTIONS: &str = "allowed are [class NAME], [model NAME] and [service NAME]";
const POSITIVE_NUMBER: &str = "a whole number above 0, without a unit";

/// Entries of one or more configuration files, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigFile {
    /// Classes of requests, with their latency targets.
    pub classes: BTreeMap<ClassName, ClassTarget>,
    /// Models and their adapters.
    pub models: BTreeMap<ModelName, ModelSpec>,
    /// Plain services, by the name of their group.
    pub services: BTreeMap<GroupName, ServiceSpec>,
}

impl ConfigFile {
    /// Parses one INI text.
    ///
    /// # Errors
    ///
    /// All problems of the text, in the order of their lines.
    pub fn from_text(text: &str) -> Result<Self, Vec<Problem>> {
        let mut file = Self::default();
        let problems = file.add_text(text);
        match problems.is_empty() {
            true => Ok(file),
            false => Err(problems),
        }
    }

    /// Parses another INI text, adds its entries, and returns all its problems in the order of
    /// their lines. An entry that is already defined is a problem.
    pub fn add_text(&mut self, text: &str) -> Vec<Problem> {
        let (document, mut problems) = Document::read(text);
        for section in &document.sections {
            self.read_section(section, &mut problems);
        }
        problems.sort_by_key(|problem| problem.line.unwrap_or(usize::MAX));
        problems
    }

    fn read_section(&mut self, section: &Section, problems: &mut Vec<Problem>) {
        let kind_and_name = section.name.split_once(' ');
        let (kind, name) = kind_and_name.unwrap_or((&section.name, ""));
        let name = name.trim();
        if name.is_empty() || !["class", "model", "service"].contains(&kind) {
            problems.push(section_problem(section, ALLOWED_SECTIONS));
            return;
        }
        let mut reader = SectionReader::of(section, problems);
        let is_new = match kind {
            "class" => self.add_class(name, &mut reader),
            "model" => self.add_model(name, &mut reader),
            _ => self.add_service(name, &mut reader),
        };
        reader.reject_unknown_keys();
        if !is_new {
            problems.push(section_problem(
                section,
                "duplicate section; it is defined above or in another file",
            ));
        }
    }

    fn add_class(&mut self, name: &str, reader: &mut SectionReader<'_>) -> bool {
        let class = ClassName::new(name);
        let target = ClassTarget {
            class: class.clone(),
            answer_within_ms: reader.number("answer_within_ms"),
        };
        self.classes.insert(class, target).is_none()
    }

    fn add_model(&mut self, name: &str, reader: &mut SectionReader<'_>) -> bool {
        let model = ModelName::new(name);
        let spec = ModelSpec {
            model: model.clone(),
            base: reader.optional("base").map(ModelName::from),
            group: GroupName::new(reader.required("group")),
            bytes: reader.number("bytes"),
        };
        self.models.insert(model, spec).is_none()
    }

    fn add_service(&mut self, name: &str, reader: &mut SectionReader<'_>) -> bool {
        let service = GroupName::new(name);
        let spec = ServiceSpec {
            service: service.clone(),
            idempotent_paths: reader.paths("idempotent_paths"),
        };
        self.services.insert(service, spec).is_none()
    }
}

/// Reader of one section's entries, which records their problems.
struct SectionReader<'a> {
    section: &'a Section,
    problems: &'a mut Vec<Problem>,
    known: Vec<&'static str>,
}

impl<'a> SectionReader<'a> {
    fn of(section: &'a Section, problems: &'a mut Vec<Problem>) -> Self {
        Self {
            section,
            problems,
            known: Vec::new(),
        }
    }

    fn optional(&mut self, key: &'static str) -> Option<&'a str> {
        self.known.push(key);
        let section = self.section;
        let mut entries = section.entries.iter().filter(|entry| entry.key == key);
        let first = entries.next()?;
        for duplicate in entries {
            let allowed = format!("duplicate key; it is set first at line {}", first.line);
            self.reject(key, Some(&duplicate.value), Some(duplicate.line), allowed);
        }
        if first.value.is_empty() {
            self.reject(key, Some(""), Some(first.line), "must not be empty");
        }
        Some(&first.value)
    }

    fn required(&mut self, key: &'static str) -> &'a str {
        let Some(value) = self.optional(key) else {
            self.reject(key, None, Some(self.section.line), "missing");
            return "";
        };
        value
    }

    fn number(&mut self, key: &'static str) -> u64 {
        let text = self.required(key);
        if text.is_empty() {
            return 0;
        }
        let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
        match text.parse() {
            Ok(number) if is_digits && number > 0 => number,
            _ => {
                self.reject(
                    key,
                    Some(text),
                    self.line(key),
                    format!("allowed is {POSITIVE_NUMBER}"),
                );
                0
            }
        }
    }

    fn paths(&mut self, key: &'static str) -> Vec<String> {
        let Some(text) = self.optional(key) else {
            return Vec::new();
        };
        let paths: Vec<String> = text.split(',').map(|path| path.trim().to_owned()).collect();
        if paths.iter().any(|path| !path.starts_with('/')) {
            let allowed = "allowed are paths that begin with /, separated by commas";
            self.reject(key, Some(text), self.line(key), allowed);
        }
        paths
    }

    fn reject_unknown_keys(&mut self) {
        for entry in &self.section.entries {
            if self.known.contains(&entry.key.as_str()) {
                continue;
            }
            let allowed = format!("unknown key; allowed are {}", self.known.join(", "));
            self.problems.push(Problem::of_key(
                &self.section.name,
                &entry.key,
                Some(&entry.value),
                Some(entry.line),
                allowed,
            ));
        }
    }

    fn line(&self, key: &str) -> Option<usize> {
        let entries = &self.section.entries;
        let entry = entries.iter().find(|entry| entry.key == key);
        entry.map(|entry| entry.line)
    }

    fn reject(
        &mut self,
        key: &str,
        value: Option<&str>,
        line: Option<usize>,
        allowed: impl Into<String>,
    ) {
        let problem = Problem::of_key(&self.section.name, key, value, line, allowed);
        self.problems.push(problem);
    }
}

fn section_problem(section: &Section, allowed: &str) -> Problem {
    Problem::of_section(&section.name, Some(section.line), allowed)
}
