//! Typed reading of entries, which collects every fault.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::fault::{Fault, FaultKind};
use super::integer::Number;
use super::source::{Source, SourceEntry};

/// Hands out the entries of a source and collects faults.
#[derive(Debug)]
pub(super) struct Reader {
    source: Source,
    faults: Vec<Fault>,
    known: Vec<(&'static str, &'static str)>,
    lines: HashMap<String, usize>,
}

impl Reader {
    pub(super) fn new(source: Source, faults: Vec<Fault>) -> Self {
        Self {
            source,
            faults,
            known: Vec::new(),
            lines: HashMap::new(),
        }
    }

    /// Takes the first entry of a key; further ones are faults.
    pub(super) fn take(&mut self, section: &'static str, key: &'static str) -> Option<SourceEntry> {
        self.known.push((section, key));
        let first = self.position(section, key)?;
        let entry = self.source.entries.remove(first);
        if let Some(line) = entry.line {
            self.lines.insert(full_key(section, key), line);
        }
        while let Some(next) = self.position(section, key) {
            let duplicate = self.source.entries.remove(next);
            self.duplicate(&duplicate);
        }
        Some(entry)
    }

    /// Takes every entry of a section whose key starts with `prefix`.
    pub(super) fn take_prefixed(
        &mut self,
        section: &'static str,
        prefix: &'static str,
    ) -> Vec<SourceEntry> {
        self.known.push((section, prefix));
        let entries = std::mem::take(&mut self.source.entries);
        let (taken, left) = entries
            .into_iter()
            .partition(|entry| entry.section == section && entry.key.starts_with(prefix));
        self.source.entries = left;
        taken
    }

    /// Reads a name that must be there.
    pub(super) fn name(&mut self, section: &'static str, key: &'static str) -> Option<String> {
        let Some(entry) = self.take(section, key) else {
            self.missing(section, key, "add a name");
            return None;
        };
        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if !entry.value.is_empty() && entry.value.chars().all(plain) {
            return Some(entry.value);
        }
        let message = format!("{:?} is not a name", entry.value);
        let remedy = "use letters, digits, '-', '_' and '.'";
        self.fault(FaultKind::BadValue, &entry, message, remedy);
        None
    }

    /// Reads an address that must be there.
    pub(super) fn address(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<SocketAddr> {
        let Some(entry) = self.take(section, key) else {
            self.missing(section, key, "add an ip:port address");
            return None;
        };
        self.parse_address(&entry)
    }

    /// Reads an address that may be missing.
    pub(super) fn optional_address(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<SocketAddr> {
        let entry = self.take(section, key)?;
        self.parse_address(&entry)
    }

    /// Refuses port 0 where others must reach the address.
    pub(super) fn reachable(&mut self, entry: &SourceEntry, address: SocketAddr) {
        if address.port() == 0 {
            let message = "port 0 cannot be reached".to_owned();
            let remedy = "give the port that the service listens on";
            self.fault(FaultKind::OutOfBounds, entry, message, remedy);
        }
    }

    /// Reads a number, or takes its default.
    pub(super) fn number(&mut self, number: &Number) -> u64 {
        let Some(entry) = self.take(number.section, number.key) else {
            return number.default;
        };
        match entry.value.parse::<u64>() {
            Ok(value) if number.holds(value) => value,
            Ok(value) => {
                let line = entry.line;
                self.faults.push(Fault {
                    line,
                    ..number.out_of_bounds(value)
                });
                number.default
            }
            Err(_) => {
                self.not_a_number(&entry, number);
                number.default
            }
        }
    }

    /// Adds a fault at an entry.
    pub(super) fn fault(
        &mut self,
        kind: FaultKind,
        entry: &SourceEntry,
        message: String,
        remedy: &str,
    ) {
        self.faults.push(Fault {
            kind,
            line: entry.line,
            key: full_key(&entry.section, &entry.key),
            message,
            remedy: remedy.to_owned(),
        });
    }

    /// Adds a fault that a check of the whole settings found.
    pub(super) fn add(&mut self, fault: Fault) {
        let line = self.lines.get(&fault.key).copied();
        self.faults.push(Fault { line, ..fault });
    }

    /// Adds a fault for an entry that repeats another one.
    pub(super) fn duplicate(&mut self, entry: &SourceEntry) {
        let message = "stands twice".to_owned();
        self.fault(FaultKind::DuplicateKey, entry, message, "keep one of them");
    }

    /// Reports whatever was not taken and returns all faults.
    pub(super) fn finish(mut self) -> Vec<Fault> {
        let unknown: Vec<String> = self
            .source
            .sections
            .iter()
            .filter(|section| !self.is_known_section(section))
            .cloned()
            .collect();
        for section in unknown {
            self.unknown_section(&section);
        }
        for entry in std::mem::take(&mut self.source.entries) {
            if entry.section.is_empty() || self.is_known_section(&entry.section) {
                self.unknown_key(&entry);
            }
        }
        self.faults
    }

    fn position(&self, section: &str, key: &str) -> Option<usize> {
        self.source
            .entries
            .iter()
            .position(|entry| entry.section == section && entry.key == key)
    }

    fn parse_address(&mut self, entry: &SourceEntry) -> Option<SocketAddr> {
        match entry.value.parse::<SocketAddr>() {
            Ok(address) => {
                if entry.section != "listen" {
                    self.reachable(entry, address);
                }
                Some(address)
            }
            Err(_) => {
                let message = format!("{:?} is not an address", entry.value);
                let remedy = "write an IP number and a port, such as 10.0.0.5:8080";
                self.fault(FaultKind::BadValue, entry, message, remedy);
                None
            }
        }
    }

    fn not_a_number(&mut self, entry: &SourceEntry, number: &Number) {
        let starts_with_digit = entry.value.starts_with(|c: char| c.is_ascii_digit());
        let kind = if starts_with_digit {
            FaultKind::WrongUnit
        } else {
            FaultKind::BadValue
        };
        let message = format!("{:?} is not a whole number", entry.value);
        let remedy = format!("write digits alone; the unit is {}", number.unit());
        self.fault(kind, entry, message, &remedy);
    }

    fn missing(&mut self, section: &str, key: &str, remedy: &str) {
        self.faults.push(Fault {
            kind: FaultKind::MissingKey,
            line: self.source.section_line(section),
            key: full_key(section, key),
            message: "is missing".to_owned(),
            remedy: format!("{remedy} under [{section}]"),
        });
    }

    fn is_known_section(&self, section: &str) -> bool {
        self.known.iter().any(|(known, _)| *known == section)
    }

    fn unknown_section(&mut self, section: &str) {
        let mut names: Vec<&str> = self.known.iter().map(|(section, _)| *section).collect();
        names.dedup();
        self.faults.push(Fault {
            kind: FaultKind::UnknownSection,
            line: self.source.section_line(section),
            key: section.to_owned(),
            message: "is not a known section".to_owned(),
            remedy: format!("use one of {}", names.join(", ")),
        });
    }

    fn unknown_key(&mut self, entry: &SourceEntry) {
        if let Some(key) = self.key_with_other_unit(entry) {
            let message = "has another unit than the setting".to_owned();
            let remedy = format!("use {key} and convert the value");
            self.fault(FaultKind::WrongUnit, entry, message, &remedy);
            return;
        }
        let names: Vec<&str> = self
            .known
            .iter()
            .filter(|(section, _)| *section == entry.section)
            .map(|(_, key)| *key)
            .collect();
        let remedy = if names.is_empty() {
            "move it below a section".to_owned()
        } else {
            format!("use one of {}", names.join(", "))
        };
        let message = "is not a known key".to_owned();
        self.fault(FaultKind::UnknownKey, entry, message, &remedy);
    }

    /// Finds a known key that differs from the entry's in its unit alone.
    fn key_with_other_unit(&self, entry: &SourceEntry) -> Option<&'static str> {
        let stem = |key: &str| key.rsplit_once('_').map(|(stem, _)| stem.to_owned());
        let has_unit = |key: &str| key.ends_with("_ms") || key.ends_with("_bytes");
        let own = stem(&entry.key).unwrap_or_else(|| entry.key.clone());
        self.known
            .iter()
            .filter(|(section, key)| *section == entry.section && has_unit(key))
            .map(|(_, key)| *key)
            .find(|key| stem(key).as_deref() == Some(own.as_str()))
    }
}

fn full_key(section: &str, key: &str) -> String {
    if section.is_empty() {
        return key.to_owned();
    }
    format!("{section}.{key}")
}
