//! Row keys.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Kind of a row; the first segment of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowKind {
    /// An organisation.
    Organisation,
    /// A version of a model.
    Version,
    /// Permission of an organisation to use a version.
    Allowance,
    /// A model cascade of an organisation.
    Cascade,
    /// A data centre.
    DataCentre,
    /// An endpoint.
    Endpoint,
    /// A call that a plain service offers.
    ServiceCall,
    /// A maintenance window of an endpoint or data centre.
    PlannedStop,
    /// A roll-out of a version.
    RollOut,
}

impl RowKind {
    /// Every kind, in the order in which messages list them.
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

    /// Returns the name that is used in sheets.
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

/// Unique key of a row: its kind and identifying names, as `kind/name/name`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowKey(String);

impl RowKey {
    /// Returns the key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Creates the key from a row's kind and identifying names.
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
