//! The callers' API and the administration API.
