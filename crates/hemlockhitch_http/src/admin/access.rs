//! Operators' tokens and roles.

use hemlockhitch_config::admin::{AdminError, AdminErrorCode};
use hemlockhitch_config::{Change, Configuration, Row};
use hemlockhitch_model::OrganisationName;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Read everything.
    Read,
    /// Read, and change the configuration.
    Operate,
}

/// One operator's token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorToken {
    /// The operator's name, for the record of changes.
    pub name: String,
    /// SHA-256 of the token.
    pub token_sha256: [u8; 32],
    /// What the operator may do.
    pub role: Role,
    /// The organisation whose rows alone the operator may see and change.
    pub organisation: Option<OrganisationName>,
}

/// An operator who was authenticated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The operator's name.
    pub name: String,
    /// What the operator may do.
    pub role: Role,
    /// The organisation whose rows alone the operator may see and change.
    pub organisation: Option<OrganisationName>,
}

/// The operators of a node.
#[derive(Clone, Debug, Default)]
pub struct Operators {
    tokens: Vec<OperatorToken>,
}

impl Operators {
    /// Creates the list.
    #[must_use]
    pub fn new(tokens: impl Into<Vec<OperatorToken>>) -> Self {
        Self {
            tokens: tokens.into(),
        }
    }

    /// Authenticates an operator by the header `Authorization`.
    ///
    /// # Errors
    ///
    /// Fails when the token is missing or unknown.
    pub fn authenticate(&self, authorization: Option<&str>) -> Result<Operator, AdminError> {
        let token = authorization.and_then(|value| value.strip_prefix("Bearer "));
        let digest = Sha256::digest(token.unwrap_or_default().as_bytes());
        let mut found = None;
        // Every token is compared, so that the time does not depend on the match.
        for entry in &self.tokens {
            if bool::from(entry.token_sha256[..].ct_eq(&digest[..])) {
                found = Some(entry);
            }
        }
        let entry = found.filter(|_| token.is_some()).ok_or_else(|| {
            AdminError::new(
                AdminErrorCode::Unauthorized,
                "the operator's token is missing or unknown",
                "send a token from the node's settings as `Authorization: Bearer TOKEN`",
            )
        })?;
        Ok(Operator {
            name: entry.name.clone(),
            role: entry.role,
            organisation: entry.organisation.clone(),
        })
    }
}

impl Operator {
    /// Checks that the operator may make the change.
    ///
    /// # Errors
    ///
    /// Fails when the role is too low or a row belongs to another organisation.
    pub fn check_change(
        &self,
        change: &Change,
        configuration: &Configuration,
    ) -> Result<(), AdminError> {
        if self.role < Role::Operate {
            return Err(forbidden(
                "the token permits reading only",
                "use a token with the role operate",
            ));
        }
        let Some(own) = &self.organisation else {
            return Ok(());
        };
        let foreign = change.edits.iter().find(|edit| {
            let present = configuration.rows.get(&edit.key);
            let present = present.and_then(|versioned| versioned.row.as_ref());
            let rows = [present, edit.row.as_ref()];
            let concerns_another = rows
                .into_iter()
                .flatten()
                .any(|row| row.key() != edit.key || !may_change(row, own));
            concerns_another || (present.is_none() && edit.row.is_none())
        });
        match foreign {
            None => Ok(()),
            Some(edit) => Err(forbidden(
                format!("row {} does not belong to organisation {own}", edit.key),
                "leave the row out, or ask an operator of the whole system",
            )),
        }
    }

    /// Removes the rows that the operator may not see.
    #[must_use]
    pub fn visible(&self, mut configuration: Configuration) -> Configuration {
        if let Some(own) = &self.organisation {
            configuration.rows.retain(|_, versioned| {
                versioned
                    .row
                    .as_ref()
                    .is_some_and(|row| organisation_of(row).is_none_or(|name| name == own))
            });
        }
        configuration
    }
}

/// Returns whether an organisation's operator may change a row. Permissions,
/// weights and limits stay with the operators of the whole system.
fn may_change(row: &Row, own: &OrganisationName) -> bool {
    matches!(row, Row::Cascade(_)) && organisation_of(row) == Some(own)
}

fn organisation_of(row: &Row) -> Option<&OrganisationName> {
    match row {
        Row::Organisation(row) => Some(&row.name),
        Row::Allowance(row) => Some(&row.organisation),
        Row::Cascade(row) => Some(&row.organisation),
        _ => None,
    }
}

fn forbidden(message: impl Into<String>, remedy: impl Into<String>) -> AdminError {
    AdminError::new(AdminErrorCode::Forbidden, message, remedy)
}
