//! The configuration in the platform's key-value service.

mod submission;

pub use submission::Submission;
