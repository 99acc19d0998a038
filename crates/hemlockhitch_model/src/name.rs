//! Names that operators give to things.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name from its text.
            #[must_use]
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the text of the name.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self::new(text)
            }
        }
    };
}

name!(
    /// Names an organisation.
    OrganisationName
);
name!(
    /// Names a model.
    ModelName
);
name!(
    /// Names one version of a model, written `model@version`.
    VersionName
);
name!(
    /// Names an endpoint.
    EndpointName
);
name!(
    /// Names a data centre.
    DataCentreName
);
name!(
    /// Names a region.
    RegionName
);
name!(
    /// Names a plain service.
    ServiceName
);
name!(
    /// Names a router node.
    NodeName
);

impl VersionName {
    /// Joins a model's name and a version's label.
    #[must_use]
    pub fn of(model: impl fmt::Display, label: impl fmt::Display) -> Self {
        Self::new(format!("{model}@{label}"))
    }

    /// Returns the name of the model that the version belongs to.
    #[must_use]
    pub fn model(&self) -> ModelName {
        let text = self.as_str();
        let end = text.find('@').unwrap_or(text.len());
        ModelName::new(&text[..end])
    }
}
