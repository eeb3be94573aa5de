//! Fleet capacity and maintenance manager.
fn main() {}
