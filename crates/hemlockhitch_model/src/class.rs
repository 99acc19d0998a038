//! Request classes, in order of priority.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The priority class of a request; classes declared first have priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A call made while a customer waits at a checkout till.
    Till,
    /// An interactive conversation.
    Chat,
    /// A short read of stored data.
    Lookup,
    /// A long text that is generated while its caller waits.
    Summary,
    /// Batch work that may run at any time before its deadline.
    Overnight,
}

impl Class {
    /// All classes, highest priority first.
    pub const ALL: [Self; 5] = [
        Self::Till,
        Self::Chat,
        Self::Lookup,
        Self::Summary,
        Self::Overnight,
    ];

    /// Returns the name used in settings, sheets and metrics.
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

    /// Returns the index of the class in [`Class::ALL`].
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

/// Error returned when a text is not the name of a class.
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
