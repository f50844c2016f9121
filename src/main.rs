//! To be filled.

fn main() {}
