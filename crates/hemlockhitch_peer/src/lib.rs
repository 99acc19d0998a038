//! Membership, dissemination, ownership and slot grants between nodes.

pub mod slots;
