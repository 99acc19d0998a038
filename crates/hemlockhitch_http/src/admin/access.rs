//! Authentication and authorisation of operators.

use hemlockhitch_config::admin::{AdminError, AdminErrorCode};
use hemlockhitch_config::{Change, Configuration, Row};
use hemlockhitch_model::OrganisationName;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Permission level of an operator; higher roles include lower ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Read the configuration and the status.
    Read,
    /// Read, and change the configuration.
    Operate,
}

/// Credentials and permissions of one operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorToken {
    /// Name of the operator, recorded as the author of changes.
    pub name: String,
    /// SHA-256 digest of the bearer token.
    pub token_sha256: [u8; 32],
    /// Role granted by the token.
    pub role: Role,
    /// Organisation to whose rows the operator is restricted; `None` for no restriction.
    pub organisation: Option<OrganisationName>,
}

/// An authenticated operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator, recorded as the author of changes.
    pub name: String,
    /// Role granted by the token.
    pub role: Role,
    /// Organisation to whose rows the operator is restricted; `None` for no restriction.
    pub organisation: Option<OrganisationName>,
}

/// Operator tokens that a node accepts.
#[derive(Clone, Debug, Default)]
pub struct Operators {
    tokens: Vec<OperatorToken>,
}

impl Operators {
    /// Creates the list from the configured tokens.
    #[must_use]
    pub fn new(tokens: impl Into<Vec<OperatorToken>>) -> Self {
        Self {
            tokens: tokens.into(),
        }
    }

    /// Authenticates an operator by the value of the `Authorization` header.
    ///
    /// # Errors
    ///
    /// Fails if the token is missing or unknown.
    pub fn authenticate(&self, authorization: Option<&str>) -> Result<Operator, AdminError> {
        let token = authorization.and_then(|value| value.strip_prefix("Bearer "));
        let digest = Sha256::digest(token.unwrap_or_default().as_bytes());
        let mut matched = None;
        // Compares all tokens, so that the running time does not reveal which one matched.
        for entry in &self.tokens {
            if bool::from(entry.token_sha256[..].ct_eq(&digest[..])) {
                matched = Some(entry);
            }
        }
        let entry = matched.filter(|_| token.is_some()).ok_or_else(|| {
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
    /// Checks that the operator is allowed to submit the change.
    ///
    /// # Errors
    ///
    /// Fails if the role does not permit changes, or if an edit affects a row that the
    /// operator of an organisation may not change.
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
        let forbidden_edit = change.edits.iter().find(|edit| {
            let present = configuration.rows.get(&edit.key);
            let present = present.and_then(|versioned| versioned.row.as_ref());
            let rows = [present, edit.row.as_ref()];
            let has_forbidden_row = rows
                .into_iter()
                .flatten()
                .any(|row| row.key() != edit.key || !may_change(row, own));
            has_forbidden_row || (present.is_none() && edit.row.is_none())
        });
        match forbidden_edit {
            None => Ok(()),
            Some(edit) => Err(forbidden(
                format!("row {} does not belong to organisation {own}", edit.key),
                "leave the row out, or ask an operator of the whole system",
            )),
        }
    }

    /// Returns the configuration without the rows that the operator may not see.
    #[must_use]
    pub fn filter_visible(&self, mut configuration: Configuration) -> Configuration {
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

/// Returns whether the operator of an organisation may change a row. Only operators of the
/// whole system may change permissions, weights and limits.
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
