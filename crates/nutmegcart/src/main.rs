//! Fleet capacity and maintenance manager.
//!
//! `nutmegcart serve` and `nutmegcart manage` run an entry instance, the operator commands call one,
//! and `nutmegcart demo` runs a whole deployment in one process.

mod cell_table;
mod check;
mod client;
mod demo;
mod explain;
mod flags;
mod job;
mod manage;
mod operator;
mod serve;
mod table;

use std::process::ExitCode;

use crate::flags::Nutmegcart;
use crate::flags::NutmegcartCmd;

fn main() -> ExitCode {
    let flags = Nutmegcart::from_env_or_exit();
    match flags.subcommand {
        NutmegcartCmd::Serve(flags) => serve::run(&flags),
        NutmegcartCmd::Manage(flags) => manage::run(&flags),
        NutmegcartCmd::Check(flags) => check::run(&flags),
        NutmegcartCmd::Demo(flags) => demo::run(&flags),
        NutmegcartCmd::Job(flags) => job::run(&flags),
        NutmegcartCmd::Explain(flags) => explain::run(&flags),
        NutmegcartCmd::Apply(flags) => operator::apply(&flags),
        NutmegcartCmd::Get(flags) => operator::get(&flags),
        NutmegcartCmd::List(flags) => operator::list(&flags),
        NutmegcartCmd::Status(flags) => operator::status(&flags),
        NutmegcartCmd::Wave(flags) => operator::wave(&flags),
        NutmegcartCmd::Drain(flags) => operator::drain(&flags),
        NutmegcartCmd::Repair(flags) => operator::repair(&flags),
    }
}
