//! Behaviour of the logger when nobody reads standard output.

use std::os::fd::AsRawFd;
use std::process::Command;
use std::process::Stdio;

/// Environment variable that is set in the child process.
const CHILD: &str = "NUTMEGCART_TEST_LOGGER";
/// Number of lines written; the logger's buffers hold far fewer.
const LINES: usize = 20_000;

/// Runs in the child process: logs far more than the pipe and the buffers hold, then reports
/// completion on standard error.
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

/// Guards against a process that blocks because nobody reads its log.
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
    // The pipe stays open and is never read.
    let unread = child.stdout.take().expect("standard output is piped");
    assert!(unread.as_raw_fd() > 0);
    let status = child.wait().expect("the child ends although nobody reads");
    assert!(status.success());
    let mut stderr = String::new();
    std::io::Read::read_to_string(&mut child.stderr.take().expect("piped"), &mut stderr)
        .expect("text");
    assert!(stderr.contains("written"), "{stderr}");
}
