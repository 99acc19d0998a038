//! Randomly generated identifiers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Error returned when a text is not an identifier of 32 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("{text:?} is not an identifier; use 32 hexadecimal digits")]
pub struct ParseIdError {
    text: String,
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(u128);

        impl $name {
            /// Generates a random identifier.
            #[must_use]
            pub fn random() -> Self {
                Self(fastrand::u128(..))
            }

            /// Creates an identifier from its numeric value.
            #[must_use]
            pub const fn from_u128(number: u128) -> Self {
                Self(number)
            }

            /// Returns the numeric value of the identifier.
            #[must_use]
            pub const fn as_u128(self) -> u128 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let error = || ParseIdError { text: text.to_owned() };
                if text.len() != 32 {
                    return Err(error());
                }
                u128::from_str_radix(text, 16).map(Self).map_err(|_| error())
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }
    };
}

id!(
    /// Identifies a caller's request across all nodes and endpoints that handle it.
    RequestId
);
id!(
    /// Identifies a configuration change, so that a client that lost the response can
    /// find out whether the change was applied.
    ChangeId
);
