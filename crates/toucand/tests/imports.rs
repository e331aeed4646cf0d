//! Guards against files of the daemon that import each other in a circle, so that none can be read
//! or moved without the others.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

type Imports = BTreeMap<String, BTreeSet<String>>;

/// Returns the top-level modules of the crate that `text` names, in `use` items or in paths.
fn imports(text: &str, modules: &BTreeSet<String>) -> BTreeSet<String> {
    let code: String = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"))
        .collect();
    let mut found = BTreeSet::new();
    for part in code.split("crate::").skip(1) {
        let mut depth = 0;
        let mut word = String::new();
        let mut takes = true;
        for letter in part.chars() {
            if letter.is_alphanumeric() || letter == '_' {
                word.push(letter);
                continue;
            }
            if takes && modules.contains(&word) && depth <= 1 {
                found.insert(word.clone());
            }
            word.clear();
            match letter {
                '{' => depth += 1,
                '}' => depth -= 1,
                _ => {}
            }
            // Names after `::` are items of a module, not modules of the crate.
            takes = letter != ':';
            if depth <= 0 {
                break;
            }
        }
    }
    found
}

fn graph() -> Imports {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = Vec::new();
    for entry in fs::read_dir(&source).expect("the source") {
        let path = entry.expect("an entry").path();
        let module = path
            .file_stem()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        if path.is_dir() {
            let inner = fs::read_dir(&path).expect("a folder");
            files.extend(inner.map(|entry| (module.clone(), entry.expect("an entry").path())));
        } else if !["lib", "main"].contains(&module.as_str()) {
            files.push((module, path));
        }
    }
    let modules: BTreeSet<_> = files.iter().map(|(module, _)| module.clone()).collect();
    let mut graph = Imports::new();
    for (module, path) in files {
        let text = fs::read_to_string(path).expect("a file");
        let mut found = imports(&text, &modules);
        found.remove(&module);
        graph.entry(module).or_default().append(&mut found);
    }
    graph
}

#[test]
fn files_of_the_daemon_import_each_other_in_no_circle() {
    let mut graph = graph();
    assert!(graph.len() > 30, "files are missing: {graph:?}");
    assert!(graph["request"].contains("router"), "imports are not read");
    loop {
        let free: Vec<_> = graph
            .iter()
            .filter(|(_, imports)| imports.iter().all(|name| !graph.contains_key(name)))
            .map(|(module, _)| module.clone())
            .collect();
        if free.is_empty() {
            break;
        }
        graph.retain(|module, _| !free.contains(module));
    }
    assert!(
        graph.is_empty(),
        "files in a circle, or above one: {graph:#?}"
    );
}
