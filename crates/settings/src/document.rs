//! Parser of INI files that keeps the line number of each entry.
//!
//! `rust-ini` parses the values. It stops at the first line that it can't parse and keeps no line
//! numbers. A scan of the lines therefore comes first: it records the line of each entry, reports
//! the lines that are not valid INI, and replaces them by empty lines.

use std::collections::HashMap;

use ini::Ini;
use ini::ParseOption;

use crate::problem::Problem;

/// Byte order mark, which some editors write at the beginning of a file.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// One `key = value` line of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Text before the `=` or `:`, without the spaces around it.
    pub key: String,
    /// Text behind the `=` or `:` up to the end of the line, without the spaces around it.
    pub value: String,
    /// Line number, from 1.
    pub line: usize,
}

/// One section of a file: its `[name]` line and the entries below.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Name between the brackets, empty for the entries before the first section.
    pub name: String,
    /// Line number of the `[name]` line, from 1; also 1 for the entries before the first section.
    pub line: usize,
    /// Entries in the order of their lines.
    pub entries: Vec<Entry>,
}

/// Sections and entries of an INI file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// Sections in the order of their lines. Sections of the same name are not merged.
    pub sections: Vec<Section>,
}

#[derive(Default)]
struct Scan {
    /// Text for `rust-ini`: the valid lines, and an empty one for each other line.
    readable: String,
    /// Line numbers of the `[name]` lines, by name.
    section_lines: HashMap<String, Vec<usize>>,
    /// Line numbers of the entries, by section name, how often the section had begun, and key.
    entry_lines: HashMap<(String, usize, String), Vec<usize>>,
    problems: Vec<Problem>,
}

impl Document {
    /// Parses a file, and returns a problem for each line that is not valid INI.
    ///
    /// A value runs to the end of its line: there are no quotes, no escapes and no comments behind
    /// a value.
    pub fn read(text: &str) -> (Self, Vec<Problem>) {
        let mut scan = Scan::of(text);
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        match Ini::load_from_str_opt(&scan.readable, options) {
            Ok(ini) => (scan.document(&ini), scan.problems),
            Err(error) => {
                let detail = error.msg.to_string();
                let problem = Problem::of_section("", Some(error.line), detail);
                scan.problems.push(problem);
                (Self::default(), scan.problems)
            }
        }
    }
}

impl Scan {
    fn of(text: &str) -> Self {
        let mut scan = Self::default();
        let mut section = String::new();
        let mut occurrence = 0;
        let text = text.trim_start_matches(BYTE_ORDER_MARK);
        for (index, line) in text.lines().enumerate() {
            let number = index + 1;
            let line = line.trim();
            match line.split_once(['=', ':']) {
                _ if line.is_empty() || line.starts_with([';', '#']) => scan.push_blank_line(),
                _ if line.starts_with('[') && line.ends_with(']') => {
                    section = line[1..line.len() - 1].trim().to_owned();
                    let lines = scan.section_lines.entry(section.clone()).or_default();
                    lines.push(number);
                    occurrence = lines.len();
                    scan.push_line(line);
                }
                Some((key, _)) if !key.trim().is_empty() && !line.starts_with('[') => {
                    let key = key.trim().to_owned();
                    scan.entry_lines
                        .entry((section.clone(), occurrence, key))
                        .or_default()
                        .push(number);
                    scan.push_line(line);
                }
                _ => scan.reject_line(&section, number, line),
            }
        }
        scan
    }

    fn push_line(&mut self, line: &str) {
        self.readable.push_str(line);
        self.readable.push('\n');
    }

    fn push_blank_line(&mut self) {
        self.readable.push('\n');
    }

    fn reject_line(&mut self, section: &str, number: usize, line: &str) {
        let allowed = format!("{line:?} is neither a comment, a [section] nor key = value");
        let problem = Problem::of_section(section, Some(number), allowed);
        self.problems.push(problem);
        self.push_blank_line();
    }

    fn document(&self, ini: &Ini) -> Document {
        let mut sections = Vec::new();
        let mut seen: HashMap<&str, usize> = HashMap::new();
        for (name, properties) in ini.iter() {
            let name = name.unwrap_or_default();
            let occurrence = seen.entry(name).or_default();
            if !name.is_empty() {
                *occurrence += 1;
            }
            let entries: Vec<Entry> = self.entries(name, *occurrence, properties);
            if name.is_empty() && entries.is_empty() {
                continue;
            }
            let line = match self.section_lines.get(name) {
                Some(lines) if *occurrence > 0 => lines[*occurrence - 1],
                _ => 1,
            };
            sections.push(Section {
                name: name.to_owned(),
                line,
                entries,
            });
        }
        sections.sort_by_key(|section| section.line);
        Document { sections }
    }

    fn entries(
        &self,
        section: &str,
        occurrence: usize,
        properties: &ini::Properties,
    ) -> Vec<Entry> {
        let mut seen: HashMap<&str, usize> = HashMap::new();
        let mut entries = Vec::new();
        for (key, value) in properties.iter() {
            let count = seen.entry(key).or_default();
            let entry_id = (section.to_owned(), occurrence, key.to_owned());
            let lines = self.entry_lines.get(&entry_id);
            let line = lines.and_then(|lines| lines.get(*count)).copied();
            *count += 1;
            entries.push(Entry {
                key: key.to_owned(),
                value: value.trim().to_owned(),
                line: line.unwrap_or_default(),
            });
        }
        entries.sort_by_key(|entry| entry.line);
        entries
    }
}
