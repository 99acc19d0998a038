//! Classes of request, in order of priority.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The class of a request; a class that is declared earlier has priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A call made while a customer waits at the till.
    Till,
    /// An interactive conversation.
    Chat,
    /// A short read of stored data.
    Lookup,
    /// A long text that is generated while its caller waits.
    Summary,
    /// Work that may run at any time before its deadline.
    Overnight,
}

impl Class {
    /// Every class, highest priority first.
    pub const ALL: [Self; 5] = [
        Self::Till,
        Self::Chat,
        Self::Lookup,
        Self::Summary,
        Self::Overnight,
    ];

    /// Returns the name that settings, sheets and metrics use.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Till => "till",
            Self::Chat => "chat",
            Self::Lookup => "lookup",
            Self::Summary => "summary",
            Self::Overnight => "overnight",
        }
    }

    /// Returns the position of the class in [`Class::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text does not name a class.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("unknown class {text:?}; use one of till, chat, lookup, summary, overnight")]
pub struct ParseClassError {
    text: String,
}

impl FromStr for Class {
    type Err = ParseClassError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|class| class.as_str() == text)
            .ok_or_else(|| ParseClassError {
                text: text.to_owned(),
            })
    }
}
