//! Guards against test processes that run at the same time and listen on the same addresses.

use std::collections::BTreeSet;
use std::env::current_exe;
use std::io::BufRead;
use std::io::BufReader;
use std::io::stdin;
use std::net::IpAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use nutmegcart_fakes::server::free_address;

/// Number of copies of this program that run at the same time.
const COPIES: usize = 64;
/// Number of addresses that this program uses.
const ADDRESSES: usize = 1_000;
/// What a copy prints before its address.
const MARKER: &str = "free address ";
/// Variable that makes a copy run until its standard input is closed.
const WAITS: &str = "FREE_ADDRESS_WAITS";

/// Prints an address for [`processes_use_different_addresses`].
#[test]
fn free_address_is_a_loopback_address() {
    let ip = free_address().ip();
    println!("\n{MARKER}{ip}");
    if std::env::var_os(WAITS).is_some() {
        let lines = stdin().lines().count();
        assert_eq!(lines, 0);
    }
    assert!(ip.is_loopback());
}

fn start_copy() -> Child {
    Command::new(current_exe().expect("the program has a path"))
        .args([
            "--exact",
            "free_address_is_a_loopback_address",
            "--nocapture",
        ])
        .env(WAITS, "1")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the copy starts")
}

/// Returns the address that the copy prints; its output stays open.
fn address_of(copy: &mut Child) -> IpAddr {
    let output = copy.stdout.as_mut().expect("the output is a pipe");
    let mut lines = BufReader::new(output).lines().map_while(Result::ok);
    let address = lines.find_map(|line| line.strip_prefix(MARKER)?.parse().ok());
    address.expect("the copy prints its address")
}

#[test]
fn processes_use_different_addresses() {
    let mut used: BTreeSet<IpAddr> = (0..ADDRESSES).map(|_| free_address().ip()).collect();
    let mut copies: Vec<Child> = (0..COPIES).map(|_| start_copy()).collect();
    let addresses: Vec<IpAddr> = copies.iter_mut().map(address_of).collect();
    for copy in &mut copies {
        drop(copy.stdin.take());
        assert!(copy.wait().is_ok_and(|status| status.success()));
    }
    used.extend(addresses);
    assert_eq!(
        used.len(),
        ADDRESSES + COPIES,
        "no address is given to two users"
    );
}
