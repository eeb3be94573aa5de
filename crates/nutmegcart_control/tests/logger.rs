//! Behaviour of the logger when standard output is read slowly, not at all, or does not block.

use std::io::BufRead;
use std::io::BufReader;
use std::os::fd::AsRawFd;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixDatagram;
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

/// Largest write that a pipe takes as a whole.
const PIPE_BUF: usize = 4_096;

/// Guards against lines that end in the middle because a reader takes one write at a time, and only
/// as much of it as its buffer holds. A datagram keeps the bounds of a write.
#[test]
fn every_write_holds_whole_lines_and_at_most_what_a_pipe_takes_at_once() {
    let (read, write) = UnixDatagram::pair().expect("a pair of sockets");
    let mut child = Command::new(std::env::current_exe().expect("the test has a path"))
        .args([
            "--exact",
            "child_process_logs_to_a_slow_reader",
            "--nocapture",
        ])
        .env(SLOW_CHILD, "1")
        .stdout(Stdio::from(OwnedFd::from(write)))
        .stderr(Stdio::null())
        .spawn()
        .expect("the child starts");
    let mut buffer = vec![0; 1 << 20];
    let mut seen = 0;
    let mut last = false;
    while !last {
        let size = read.recv(&mut buffer).expect("a datagram");
        let text = std::str::from_utf8(&buffer[..size]).expect("whole characters");
        // The test runner of the child prints to the same socket.
        if !text.starts_with("{\"at\":") {
            continue;
        }
        assert!(size <= PIPE_BUF, "a write of {size} bytes");
        assert!(text.ends_with('\n'), "{text}");
        for line in text.lines() {
            let value: serde_json::Value =
                serde_json::from_str(line).unwrap_or_else(|error| panic!("{error}: {line}"));
            seen += 1;
            last |= value["text"] == "last line";
        }
    }
    assert!(seen > 1, "{seen} lines");
    assert!(child.wait().expect("the child ends").success());
}
