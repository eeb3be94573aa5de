//! The log when nobody reads it.

use std::os::fd::AsRawFd;
use std::process::Command;
use std::process::Stdio;

/// Set in the process under test.
const CHILD: &str = "NUTMEGCART_TEST_LOGGER";
/// Lines written, far more than the log holds in memory.
const LINES: usize = 20_000;

/// Writes far more than a stopped reader takes, and tells on standard error that it got through.
#[test]
fn child_process_logs_to_unread_stdout() {
    if std::env::var_os(CHILD).is_none() {
        return;
    }
    nutmegcart_control::logger::start(log::LevelFilter::Info);
    for number in 0..LINES {
        log::info!("line {number} with some text so that the memory of the log is filled");
        if number % 100 == 0 {
            nutmegcart_control::logger::flush();
        }
    }
    eprintln!("written");
    std::process::exit(0);
}

/// Guards against a process that stops because the reader of its log has stopped.
#[test]
fn unread_stdout_does_not_block_the_process() {
    let mut child = Command::new(std::env::current_exe().expect("the test has a path"))
        .args([
            "--exact",
            "child_process_logs_to_unread_stdout",
            "--nocapture",
        ])
        .env(CHILD, "1")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the child starts");
    // Its standard output is held open and never read.
    let unread = child.stdout.take().expect("standard output is piped");
    assert!(unread.as_raw_fd() > 0);
    let status = child.wait().expect("the child ends although nobody reads");
    assert!(status.success());
    let mut told = String::new();
    std::io::Read::read_to_string(&mut child.stderr.take().expect("piped"), &mut told)
        .expect("text");
    assert!(told.contains("written"), "{told}");
}
