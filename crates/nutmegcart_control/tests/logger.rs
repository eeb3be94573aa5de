//! Behaviour of the logger when standard output is read slowly, not at all, or does not block.

use std::io::BufRead;
use std::io::BufReader;
use std::os::fd::AsRawFd;
use std::os::fd::OwnedFd;
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

/// Environment variable that is set in the child process of the slow reader.
const SLOW_CHILD: &str = "NUTMEGCART_TEST_LOGGER_SLOW";
/// Lines for the slow reader; together they exceed what a pipe holds.
const SLOW_LINES: usize = 4_000;

/// Runs in the child process: logs in batches, and shuts the log down at its end.
#[test]
fn child_process_logs_to_a_slow_reader() {
    if std::env::var_os(SLOW_CHILD).is_none() {
        return;
    }
    nutmegcart_control::logger::start(log::LevelFilter::Info);
    for number in 0..SLOW_LINES {
        // Lines of different events have separate limits.
        log::info!(event = number % 1_000 + 10_000; "line {number} with some text after it");
        if number % 100 == 0 {
            nutmegcart_control::logger::flush();
        }
    }
    while !nutmegcart_control::logger::shut_down() {}
    log::info!("last line");
    while !nutmegcart_control::logger::shut_down() {}
    std::process::exit(0);
}

/// Guards against lines that end in the middle because a pipe that does not block took only a part
/// of a batch, against lines that are missing and not counted, and against a last line that is lost
/// at the exit.
#[test]
fn lines_to_a_pipe_that_does_not_block_are_whole_and_all_accounted_for() {
    let flags = rustix::pipe::PipeFlags::NONBLOCK | rustix::pipe::PipeFlags::CLOEXEC;
    let (read, write): (OwnedFd, OwnedFd) = rustix::pipe::pipe_with(flags).expect("a pipe");
    // Only the writing end stays as it is; the reader of this test waits.
    rustix::fs::fcntl_setfl(&read, rustix::fs::OFlags::empty()).expect("flags can be set");
    let mut child = Command::new(std::env::current_exe().expect("the test has a path"))
        .args([
            "--exact",
            "child_process_logs_to_a_slow_reader",
            "--nocapture",
        ])
        .env(SLOW_CHILD, "1")
        .stdout(Stdio::from(write))
        .stderr(Stdio::null())
        .spawn()
        .expect("the child starts");
    let mut seen = 0;
    let mut dropped = 0;
    let mut last = false;
    for line in BufReader::new(std::fs::File::from(read)).lines() {
        let line = line.expect("text");
        // The test runner of the child prints to the same pipe.
        if !line.contains("\"at\":") {
            continue;
        }
        let value: serde_json::Value =
            serde_json::from_str(&line).unwrap_or_else(|error| panic!("{error}: {line}"));
        let text = value["text"].as_str().unwrap_or_default();
        if text.starts_with("line ") {
            seen += 1;
        }
        last |= text == "last line";
        if value["event"] == "752" {
            let lines = value["lines"].as_str().unwrap_or_default();
            dropped += lines.parse::<usize>().expect("a count");
        }
        if seen % 50 == 0 {
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
    }
    assert!(child.wait().expect("the child ends").success());
    assert_eq!(seen + dropped, SLOW_LINES);
    assert!(last, "the last line is missing");
}
