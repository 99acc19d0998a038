//! The weight store.
