//! Typed reading of INI entries that collects every fault.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use super::fault::{Fault, FaultKind};
use super::integer::IntegerSetting;
use super::source::{Source, SourceEntry};

/// Consumes the entries of a source and collects faults.
#[derive(Debug)]
pub(super) struct Reader {
    source: Source,
    faults: Vec<Fault>,
    /// Section and key, or section and key prefix, of every setting read so far; whatever
    /// else the source contains is unknown.
    known_keys: Vec<(&'static str, &'static str)>,
    /// Line of every key taken so far, as `section.key`.
    key_lines: HashMap<String, usize>,
}

impl Reader {
    pub(super) fn new(source: Source, faults: Vec<Fault>) -> Self {
        Self {
            source,
            faults,
            known_keys: Vec::new(),
            key_lines: HashMap::new(),
        }
    }

    /// Removes and returns the first entry of a key, and reports further ones as faults.
    pub(super) fn take(&mut self, section: &'static str, key: &'static str) -> Option<SourceEntry> {
        self.known_keys.push((section, key));
        let first = self.entry_index(section, key)?;
        let entry = self.source.entries.remove(first);
        if let Some(line) = entry.line {
            self.key_lines.insert(full_key(section, key), line);
        }
        while let Some(next) = self.entry_index(section, key) {
            let duplicate = self.source.entries.remove(next);
            self.add_duplicate(&duplicate);
        }
        Some(entry)
    }

    /// Removes and returns every entry of a section whose key starts with `prefix`.
    pub(super) fn take_prefixed(
        &mut self,
        section: &'static str,
        prefix: &'static str,
    ) -> Vec<SourceEntry> {
        self.known_keys.push((section, prefix));
        let entries = std::mem::take(&mut self.source.entries);
        let (taken, rest) = entries
            .into_iter()
            .partition(|entry| entry.section == section && entry.key.starts_with(prefix));
        self.source.entries = rest;
        taken
    }

    /// Reads a required name.
    pub(super) fn name(&mut self, section: &'static str, key: &'static str) -> Option<String> {
        let Some(entry) = self.take(section, key) else {
            self.add_missing_key(section, key, "add a name");
            return None;
        };
        let is_name_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if !entry.value.is_empty() && entry.value.chars().all(is_name_char) {
            return Some(entry.value);
        }
        let message = format!("{:?} is not a name", entry.value);
        let remedy = "use letters, digits, '-', '_' and '.'";
        self.add_entry_fault(FaultKind::BadValue, &entry, message, remedy);
        None
    }

    /// Reads a required address.
    pub(super) fn address(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<SocketAddr> {
        let Some(entry) = self.take(section, key) else {
            self.add_missing_key(section, key, "add an ip:port address");
            return None;
        };
        self.parse_address(&entry)
    }

    /// Reads an optional address.
    pub(super) fn optional_address(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<SocketAddr> {
        let entry = self.take(section, key)?;
        self.parse_address(&entry)
    }

    /// Reads an optional IP address.
    pub(super) fn optional_ip(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<IpAddr> {
        let entry = self.take(section, key)?;
        let address = entry.value.parse().ok();
        if address.is_none() {
            let message = format!("{:?} is not an IP address", entry.value);
            let remedy = "give an address of this VM, without a port";
            self.add_entry_fault(FaultKind::BadValue, &entry, message, remedy);
        }
        address
    }

    /// Reports port 0 in an address that must be reachable.
    pub(super) fn check_port(&mut self, entry: &SourceEntry, address: SocketAddr) {
        if address.port() == 0 {
            let message = "port 0 cannot be reached".to_owned();
            let remedy = "give the port that the service listens on";
            self.add_entry_fault(FaultKind::OutOfBounds, entry, message, remedy);
        }
    }

    /// Reads an integer. Returns the default if it is absent or invalid, and reports a
    /// fault for an invalid value.
    pub(super) fn integer(&mut self, setting: &IntegerSetting) -> u64 {
        let Some(entry) = self.take(setting.section, setting.key) else {
            return setting.default;
        };
        match entry.value.parse::<u64>() {
            Ok(value) if setting.is_in_bounds(value) => value,
            Ok(value) => {
                let line = entry.line;
                self.faults.push(Fault {
                    line,
                    ..setting.out_of_bounds(value)
                });
                setting.default
            }
            Err(_) => {
                self.add_not_a_number(&entry, setting);
                setting.default
            }
        }
    }

    /// Reads a flag. Returns `false` if it is absent or invalid, and reports a fault for
    /// an invalid value.
    pub(super) fn flag(&mut self, section: &'static str, key: &'static str) -> bool {
        let Some(entry) = self.take(section, key) else {
            return false;
        };
        entry.value.parse().unwrap_or_else(|_| {
            let message = format!("{:?} is neither true nor false", entry.value);
            self.add_entry_fault(FaultKind::BadValue, &entry, message, "use true or false");
            false
        })
    }

    /// Reads a list separated by commas. Returns an empty one if it is absent.
    pub(super) fn list(&mut self, section: &'static str, key: &'static str) -> Vec<String> {
        let entry = self.take(section, key);
        let value = entry.map(|entry| entry.value).unwrap_or_default();
        let names = value.split(',').map(str::trim);
        names
            .filter(|name| !name.is_empty())
            .map(str::to_owned)
            .collect()
    }

    /// Adds a fault that concerns an entry.
    pub(super) fn add_entry_fault(
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

    /// Adds a fault from a check across settings, with the line of its key.
    pub(super) fn add_fault(&mut self, fault: Fault) {
        let line = self.key_lines.get(&fault.key).copied();
        self.faults.push(Fault { line, ..fault });
    }

    /// Adds a fault for a duplicate entry.
    pub(super) fn add_duplicate(&mut self, entry: &SourceEntry) {
        let message = "stands twice".to_owned();
        self.add_entry_fault(FaultKind::DuplicateKey, entry, message, "keep one of them");
    }

    /// Reports unknown sections and keys, and returns all faults.
    pub(super) fn finish(mut self) -> Vec<Fault> {
        let unknown: Vec<String> = self
            .source
            .sections
            .iter()
            .filter(|section| !self.is_known_section(section))
            .cloned()
            .collect();
        for section in unknown {
            self.add_unknown_section(&section);
        }
        for entry in std::mem::take(&mut self.source.entries) {
            if entry.section.is_empty() || self.is_known_section(&entry.section) {
                self.add_unknown_key(&entry);
            }
        }
        self.faults
    }

    fn entry_index(&self, section: &str, key: &str) -> Option<usize> {
        self.source
            .entries
            .iter()
            .position(|entry| entry.section == section && entry.key == key)
    }

    fn parse_address(&mut self, entry: &SourceEntry) -> Option<SocketAddr> {
        match entry.value.parse::<SocketAddr>() {
            Ok(address) => {
                if entry.section != "listen" {
                    self.check_port(entry, address);
                }
                Some(address)
            }
            Err(_) => {
                let message = format!("{:?} is not an address", entry.value);
                let remedy = "write an IP number and a port, such as 10.0.0.5:8080";
                self.add_entry_fault(FaultKind::BadValue, entry, message, remedy);
                None
            }
        }
    }

    fn add_not_a_number(&mut self, entry: &SourceEntry, setting: &IntegerSetting) {
        let starts_with_digit = entry.value.starts_with(|c: char| c.is_ascii_digit());
        let kind = if starts_with_digit {
            FaultKind::WrongUnit
        } else {
            FaultKind::BadValue
        };
        let message = format!("{:?} is not a whole number", entry.value);
        let remedy = format!("write digits alone; the unit is {}", setting.unit());
        self.add_entry_fault(kind, entry, message, &remedy);
    }

    fn add_missing_key(&mut self, section: &str, key: &str, remedy: &str) {
        self.faults.push(Fault {
            kind: FaultKind::MissingKey,
            line: self.source.section_line(section),
            key: full_key(section, key),
            message: "is missing".to_owned(),
            remedy: format!("{remedy} under [{section}]"),
        });
    }

    fn is_known_section(&self, section: &str) -> bool {
        self.known_keys.iter().any(|(known, _)| *known == section)
    }

    fn add_unknown_section(&mut self, section: &str) {
        let mut names: Vec<&str> = self
            .known_keys
            .iter()
            .map(|(section, _)| *section)
            .collect();
        names.dedup();
        self.faults.push(Fault {
            kind: FaultKind::UnknownSection,
            line: self.source.section_line(section),
            key: section.to_owned(),
            message: "is not a known section".to_owned(),
            remedy: format!("use one of {}", names.join(", ")),
        });
    }

    fn add_unknown_key(&mut self, entry: &SourceEntry) {
        if let Some(key) = self.key_with_other_unit(entry) {
            let message = "has another unit than the setting".to_owned();
            let remedy = format!("use {key} and convert the value");
            self.add_entry_fault(FaultKind::WrongUnit, entry, message, &remedy);
            return;
        }
        let names: Vec<&str> = self
            .known_keys
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
        self.add_entry_fault(FaultKind::UnknownKey, entry, message, &remedy);
    }

    /// Finds a known key that differs from the entry's key only in its unit suffix.
    fn key_with_other_unit(&self, entry: &SourceEntry) -> Option<&'static str> {
        let stem = |key: &str| key.rsplit_once('_').map(|(stem, _)| stem.to_owned());
        let has_unit = |key: &str| key.ends_with("_ms") || key.ends_with("_bytes");
        let entry_stem = stem(&entry.key).unwrap_or_else(|| entry.key.clone());
        self.known_keys
            .iter()
            .filter(|(section, key)| *section == entry.section && has_unit(key))
            .map(|(_, key)| *key)
            .find(|key| stem(key).as_deref() == Some(entry_stem.as_str()))
    }
}

fn full_key(section: &str, key: &str) -> String {
    if section.is_empty() {
        return key.to_owned();
    }
    format!("{section}.{key}")
}
