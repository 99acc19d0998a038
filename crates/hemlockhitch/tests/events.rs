//! The log events of the sources and the catalogue agree.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

const EVENT_MARK: &str = "event = \"HH";
const MACRO_MARK: &str = "tracing::";

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

fn source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry of the folder").path();
        if path.is_dir() {
            source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

fn source_events() -> Vec<Event> {
    let mut files = Vec::new();
    source_files(&workspace().join("platform/src"), &mut files);
    for package in fs::read_dir(workspace().join("crates")).expect("the packages") {
        let sources = package.expect("a package").path().join("src");
        if sources.is_dir() {
            source_files(&sources, &mut files);
        }
    }
    files
        .iter()
        .flat_map(|file| events_of(&read(file)))
        .collect()
}

/// Finds each event with the level of its macro and the text literal after
/// its number.
fn events_of(source: &str) -> Vec<Event> {
    let starts = source.match_indices(EVENT_MARK);
    starts.map(|(start, _)| event_at(source, start)).collect()
}

fn event_at(source: &str, start: usize) -> Event {
    let call = source[..start]
        .rfind(MACRO_MARK)
        .expect("an event is logged by tracing");
    let level = source[call + MACRO_MARK.len()..start].split('!').next();
    let mut literals = source[start..].split('"').skip(1).step_by(2);
    Event {
        number: literals.next().expect("a number").to_owned(),
        level: level.expect("a level").to_owned(),
        message: literals.next().expect("a message").to_owned(),
    }
}

fn catalogue_events() -> Vec<Event> {
    let page = read(&workspace().join("docs/EVENTS.md"));
    page.lines()
        .filter(|line| line.starts_with("| HH"))
        .map(event_of_row)
        .collect()
}

fn event_of_row(row: &str) -> Event {
    let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
    let [number, level, message, meaning, remedy] = cells[..] else {
        panic!("not five cells: {row}");
    };
    assert!(!meaning.is_empty(), "no meaning: {row}");
    assert!(!remedy.is_empty(), "nothing to do: {row}");
    Event {
        number: number.to_owned(),
        level: level.to_owned(),
        message: message.to_owned(),
    }
}

fn repeated(events: impl IntoIterator<Item = Event>) -> Vec<Vec<Event>> {
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
fn catalogue_lists_the_events_of_the_sources() {
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
fn number_stands_for_one_event() {
    let mut source = source_events();
    source.sort();
    source.dedup();
    assert_eq!(repeated(source), Vec::<Vec<Event>>::new(), "in the sources");
    assert_eq!(
        repeated(catalogue_events()),
        Vec::<Vec<Event>>::new(),
        "in docs/EVENTS.md"
    );
}

#[test]
fn number_is_hh_and_four_digits() {
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
