//! The rating service.
