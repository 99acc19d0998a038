//! Checks that the log events in the sources match the catalogue in `docs/EVENTS.md`.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

const EVENT_PREFIX: &str = "event = \"HH";
const MACRO_PREFIX: &str = "tracing::";

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    number: String,
    level: String,
    message: String,
}

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn collect_source_files(directory: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).expect("the source directory can be read") {
        let path = entry.expect("the directory entry can be read").path();
        if path.is_dir() {
            collect_source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

fn source_events() -> Vec<Event> {
    let mut files = Vec::new();
    collect_source_files(&workspace().join("platform/src"), &mut files);
    for package in
        fs::read_dir(workspace().join("crates")).expect("the package directory can be read")
    {
        let sources = package
            .expect("the directory entry can be read")
            .path()
            .join("src");
        if sources.is_dir() {
            collect_source_files(&sources, &mut files);
        }
    }
    files
        .iter()
        .flat_map(|file| parse_events(&read(file)))
        .collect()
}

/// Parses the events of a source file: the number, the level of the logging macro and the
/// message, which is the string literal after the number.
fn parse_events(source: &str) -> Vec<Event> {
    let starts = source.match_indices(EVENT_PREFIX);
    starts
        .map(|(start, _)| parse_event(source, start))
        .collect()
}

fn parse_event(source: &str, start: usize) -> Event {
    let macro_start = source[..start]
        .rfind(MACRO_PREFIX)
        .expect("the event is logged by a tracing macro");
    let level = source[macro_start + MACRO_PREFIX.len()..start]
        .split('!')
        .next();
    let mut literals = source[start..].split('"').skip(1).step_by(2);
    Event {
        number: literals.next().expect("the event has a number").to_owned(),
        level: level.expect("the event has a level").to_owned(),
        message: literals.next().expect("the event has a message").to_owned(),
    }
}

fn catalogue_events() -> Vec<Event> {
    let page = read(&workspace().join("docs/EVENTS.md"));
    page.lines()
        .filter(|line| line.starts_with("| HH"))
        .map(parse_row)
        .collect()
}

fn parse_row(row: &str) -> Event {
    let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
    let [number, level, message, meaning, remedy] = cells[..] else {
        panic!("row does not have five cells: {row}");
    };
    assert!(!meaning.is_empty(), "row has no meaning: {row}");
    assert!(!remedy.is_empty(), "row has no remedy: {row}");
    Event {
        number: number.to_owned(),
        level: level.to_owned(),
        message: message.to_owned(),
    }
}

fn find_duplicates(events: impl IntoIterator<Item = Event>) -> Vec<Vec<Event>> {
    let mut by_number: BTreeMap<String, Vec<Event>> = BTreeMap::new();
    for event in events {
        by_number
            .entry(event.number.clone())
            .or_default()
            .push(event);
    }
    by_number
        .into_values()
        .filter(|events| events.len() > 1)
        .collect()
}

#[test]
fn catalogue_matches_the_events_in_the_sources() {
    let mut source = source_events();
    source.sort();
    source.dedup();
    let mut catalogue = catalogue_events();
    catalogue.sort();
    assert_eq!(
        source, catalogue,
        "left: the sources, right: docs/EVENTS.md"
    );
}

#[test]
fn event_numbers_are_unique() {
    let mut source = source_events();
    source.sort();
    source.dedup();
    assert_eq!(
        find_duplicates(source),
        Vec::<Vec<Event>>::new(),
        "in the sources"
    );
    assert_eq!(
        find_duplicates(catalogue_events()),
        Vec::<Vec<Event>>::new(),
        "in docs/EVENTS.md"
    );
}

#[test]
fn event_numbers_are_hh_and_four_digits() {
    let events = source_events();
    assert!(!events.is_empty(), "no event found in the sources");
    for event in events {
        let digits = event.number.strip_prefix("HH").unwrap_or_default();
        let valid = digits.len() == 4 && digits.bytes().all(|digit| digit.is_ascii_digit());
        assert!(valid, "{event:?}");
        assert!(
            ["debug", "info", "warn", "error"].contains(&event.level.as_str()),
            "{event:?}"
        );
    }
}
