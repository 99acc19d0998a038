//! The keys of rows.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The kind of a row; the first part of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowKind {
    /// An organisation.
    Organisation,
    /// A version of a model.
    Version,
    /// A permission of an organisation to use a version.
    Allowance,
    /// A cascade of an organisation.
    Cascade,
    /// A data centre.
    DataCentre,
    /// An endpoint.
    Endpoint,
    /// A call of a plain service.
    ServiceCall,
    /// A planned stop.
    PlannedStop,
    /// A roll-out.
    RollOut,
}

impl RowKind {
    /// Every kind, in the order of an export.
    pub const ALL: [Self; 9] = [
        Self::Organisation,
        Self::Version,
        Self::Allowance,
        Self::Cascade,
        Self::DataCentre,
        Self::Endpoint,
        Self::ServiceCall,
        Self::PlannedStop,
        Self::RollOut,
    ];

    /// Returns the name that sheets use.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Organisation => "organisation",
            Self::Version => "version",
            Self::Allowance => "allowance",
            Self::Cascade => "cascade",
            Self::DataCentre => "data_centre",
            Self::Endpoint => "endpoint",
            Self::ServiceCall => "service_call",
            Self::PlannedStop => "planned_stop",
            Self::RollOut => "roll_out",
        }
    }
}

/// The key of a row: its kind and the names that identify it, as
/// `kind/name/name`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowKey(String);

impl RowKey {
    /// Returns the text of the key.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Builds the key from a row's kind and identifying names.
    #[must_use]
    pub fn new(kind: RowKind, names: impl IntoIterator<Item = impl fmt::Display>) -> Self {
        let mut text = kind.as_str().to_owned();
        for name in names {
            text.push('/');
            text.push_str(&name.to_string());
        }
        Self(text)
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
