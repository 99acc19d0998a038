//! Entries of an INI text with their line numbers.

use std::collections::HashMap;

use ini::{Ini, ParseOption};

use super::fault::{Fault, FaultKind};

/// A `key = value` entry of the text.
#[derive(Clone, Debug)]
pub(super) struct SourceEntry {
    pub(super) section: String,
    pub(super) key: String,
    pub(super) value: String,
    pub(super) line: Option<usize>,
}

/// The sections and entries of an INI text.
#[derive(Clone, Debug, Default)]
pub(super) struct Source {
    pub(super) sections: Vec<String>,
    pub(super) entries: Vec<SourceEntry>,
    lines: LineIndex,
}

impl Source {
    /// Parses the text; lines with syntax errors are reported and skipped.
    pub(super) fn parse(text: &str) -> (Self, Vec<Fault>) {
        let mut lines: Vec<&str> = text.trim_start_matches('\u{feff}').lines().collect();
        let mut faults = blank_malformed_lines(&mut lines);
        loop {
            match load_ini(&lines.join("\n")) {
                Ok(ini) => return (Self::from_ini(&ini, &lines), faults),
                Err(error) => {
                    let index = nearest_nonblank_line(&lines, error.line);
                    faults.push(syntax_fault(index, lines[index]));
                    lines[index] = "";
                }
            }
        }
    }

    /// Returns the line of the first header of a section.
    pub(super) fn section_line(&self, section: &str) -> Option<usize> {
        self.lines.sections.get(section).copied()
    }

    fn from_ini(ini: &Ini, lines: &[&str]) -> Self {
        let mut index = LineIndex::from_lines(lines);
        let mut source = Self::default();
        for (section, properties) in ini {
            let section = section.unwrap_or_default();
            if !section.is_empty() {
                source.sections.push(section.to_owned());
            }
            for (key, value) in properties {
                source.entries.push(SourceEntry {
                    section: section.to_owned(),
                    key: key.to_owned(),
                    value: value.trim().to_owned(),
                    line: index.take_line(section, key),
                });
            }
        }
        source.lines = index;
        source
    }
}

/// Line numbers of sections and keys, starting at 1.
#[derive(Clone, Debug, Default)]
struct LineIndex {
    sections: HashMap<String, usize>,
    keys: HashMap<(String, String), Vec<usize>>,
}

impl LineIndex {
    fn from_lines(lines: &[&str]) -> Self {
        let mut index = Self::default();
        let mut section = String::new();
        for (line_index, line) in lines.iter().enumerate() {
            let line = line.trim();
            if let Some(name) = section_name(line) {
                name.clone_into(&mut section);
                index
                    .sections
                    .entry(section.clone())
                    .or_insert(line_index + 1);
            } else if let Some(key) = key_name(line) {
                let qualified_key = (section.clone(), key.to_owned());
                index
                    .keys
                    .entry(qualified_key)
                    .or_default()
                    .push(line_index + 1);
            }
        }
        index
    }

    /// Removes and returns the first remaining line of the key.
    fn take_line(&mut self, section: &str, key: &str) -> Option<usize> {
        let lines = self.keys.get_mut(&(section.to_owned(), key.to_owned()))?;
        (!lines.is_empty()).then(|| lines.remove(0))
    }
}

fn load_ini(text: &str) -> Result<Ini, ini::ParseError> {
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    Ini::load_from_str_opt(text, option)
}

fn section_name(line: &str) -> Option<&str> {
    line.strip_prefix('[')?.strip_suffix(']').map(str::trim)
}

fn key_name(line: &str) -> Option<&str> {
    if is_comment(line) {
        return None;
    }
    let end = line.find(['=', ':'])?;
    Some(line[..end].trim())
}

fn is_comment(line: &str) -> bool {
    line.starts_with([';', '#'])
}

/// Blanks the lines that are not valid INI and returns a fault for each. The parser
/// would otherwise join such a line to the next one.
fn blank_malformed_lines(lines: &mut [&str]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (index, line) in lines.iter_mut().enumerate() {
        if is_malformed(line.trim()) {
            faults.push(syntax_fault(index, line));
            *line = "";
        }
    }
    faults
}

fn is_malformed(line: &str) -> bool {
    let ignored = line.is_empty() || is_comment(line);
    !ignored && section_name(line).is_none() && key_name(line).is_none_or(str::is_empty)
}

/// Returns the index of the last non-blank line up to `reported`, or else of the first
/// one after it.
fn nearest_nonblank_line(lines: &[&str], reported: usize) -> usize {
    let start = reported.min(lines.len().saturating_sub(1));
    (0..=start)
        .rev()
        .find(|index| !lines[*index].is_empty())
        .or_else(|| lines.iter().position(|line| !line.is_empty()))
        .unwrap_or(0)
}

fn syntax_fault(index: usize, line: &str) -> Fault {
    Fault {
        kind: FaultKind::Syntax,
        line: Some(index + 1),
        key: "line".to_owned(),
        message: format!("{:?} is neither a section nor a key", line.trim()),
        remedy: "write [section] or key = value".to_owned(),
    }
}
