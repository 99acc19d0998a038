//! The VM list.
