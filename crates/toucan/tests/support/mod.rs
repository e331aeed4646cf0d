//! Runs `toucan` and creates files for it.

// Each test file uses only part of this module.
#![allow(dead_code)]

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

/// SHA-256 digest of a token.
pub const DIGEST: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/// Output and exit code of a run of `toucan`.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

/// Runs `toucan` with the arguments.
pub fn toucan(arguments: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_toucan"))
        .args(arguments)
        .output()
        .expect("the program starts");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    Run {
        code: output.status.code().expect("an exit code"),
        out: text(output.stdout),
        err: text(output.stderr),
    }
}

/// A directory that is deleted at the end of the test.
pub struct Directory(tempfile::TempDir);

impl Directory {
    pub fn new() -> Self {
        Self(tempfile::tempdir().expect("a directory"))
    }

    /// A directory with a valid service and a valid team.
    pub fn valid() -> Self {
        let directory = Self::new();
        let service = "service: reviews\nkind: model\nrepeatable: true\nslots: 8\n";
        directory.write("shop/reviews.service.yaml", service);
        let team = format!("team: counter\ntokens: ['{DIGEST}']\nshares: {{reviews: 0.25}}\n");
        directory.write("shop/counter.team.yaml", &team);
        directory
    }

    pub fn path(&self) -> &Path {
        self.0.path()
    }

    pub fn text(&self) -> &str {
        self.path().to_str().expect("text")
    }

    pub fn join(&self, name: &str) -> String {
        self.path().join(name).to_str().expect("text").to_owned()
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path().join(name);
        fs::create_dir_all(path.parent().expect("a parent")).expect("created");
        fs::write(&path, text).expect("written");
        path
    }

    pub fn read(&self, name: &str) -> String {
        fs::read_to_string(self.path().join(name)).expect("readable")
    }
}
