//! Runs the router node.

fn main() {}
