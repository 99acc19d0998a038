//! A plain service.
