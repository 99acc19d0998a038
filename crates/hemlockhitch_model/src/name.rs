//! Names assigned by operators.

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
            /// Creates a name from its text.
            #[must_use]
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the name as text.
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
    /// Name of an organisation.
    OrganisationName
);
name!(
    /// Name of a model.
    ModelName
);
name!(
    /// Name of one version of a model, written `model@version`, or of the software that
    /// an endpoint runs.
    VersionName
);
name!(
    /// Name of an endpoint.
    EndpointName
);
name!(
    /// Name of a data centre.
    DataCentreName
);
name!(
    /// Name of a region.
    RegionName
);
name!(
    /// Name of a service.
    ServiceName
);
name!(
    /// Name of a node.
    NodeName
);

impl VersionName {
    /// Joins a model name and a version label with `@`.
    #[must_use]
    pub fn from_parts(model: impl fmt::Display, label: impl fmt::Display) -> Self {
        Self::new(format!("{model}@{label}"))
    }

    /// Returns the name of the model, which is the text before the `@`.
    #[must_use]
    pub fn model(&self) -> ModelName {
        let text = self.as_str();
        let end = text.find('@').unwrap_or(text.len());
        ModelName::new(&text[..end])
    }
}
