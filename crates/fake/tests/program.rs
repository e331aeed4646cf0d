//! Tests of the program `tsw-fake`.

use std::{
    io::{BufRead as _, BufReader},
    process::{Child, Command, Stdio},
};

/// A child process that is killed when it is dropped.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(arguments: &[&str]) -> (Running, String) {
    let child = Command::new(env!("CARGO_BIN_EXE_tsw-fake"))
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn();
    let mut child = child.expect("the program starts");
    let output = child.stdout.take().expect("piped");
    let mut line = String::new();
    BufReader::new(output)
        .read_line(&mut line)
        .expect("a line on standard output");
    (Running(child), line)
}

/// Guards against a ready line that is printed before the program listens, or that lacks an
/// address.
#[test]
fn the_ready_line_names_each_address() {
    let arguments = "engine --listen 127.0.0.1:0 --name e --count 3";
    let (_child, line) = start(&arguments.split(' ').collect::<Vec<_>>());
    let words: Vec<_> = line.split_whitespace().collect();
    assert_eq!(words.len(), 5, "{line}");
    assert_eq!(words[0], "ready");
    for (word, name) in words[1..].iter().zip(["e-1", "e-2", "e-3", "control"]) {
        let (key, address) = word.split_once('=').expect("NAME=ADDRESS");
        assert_eq!(key, name);
        std::net::TcpStream::connect(address).expect("it listens");
    }
}

/// Guards against a program that ignores SIGTERM.
#[test]
fn the_program_stops_on_sigterm() {
    let arguments = "platform --listen 127.0.0.1:0 --control 127.0.0.1:0";
    let (mut child, _) = start(&arguments.split(' ').collect::<Vec<_>>());
    let stopped = Command::new("kill")
        .args(["-TERM", &child.0.id().to_string()])
        .status();
    assert!(stopped.expect("kill runs").success());
    assert!(child.0.wait().expect("it ends").success());
}
