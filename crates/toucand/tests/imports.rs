//! Guards against import cycles between the modules of the daemon. The modules of a cycle cannot be
//! understood or moved separately.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

type Imports = BTreeMap<String, BTreeSet<String>>;

/// Returns the top-level modules of the crate that `text` refers to, in `use` items or in paths.
fn imports(text: &str, modules: &BTreeSet<String>) -> BTreeSet<String> {
    let code: String = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"))
        .collect();
    let mut found = BTreeSet::new();
    for import in code.split("crate::").skip(1) {
        let mut depth = 0;
        let mut identifier = String::new();
        let mut is_module_position = true;
        for character in import.chars() {
            if character.is_alphanumeric() || character == '_' {
                identifier.push(character);
                continue;
            }
            if is_module_position && modules.contains(&identifier) && depth <= 1 {
                found.insert(identifier.clone());
            }
            identifier.clear();
            match character {
                '{' => depth += 1,
                '}' => depth -= 1,
                _ => {}
            }
            // Identifiers after `::` are items of a module, not top-level modules.
            is_module_position = character != ':';
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
    for entry in fs::read_dir(&source).expect("the source directory") {
        let path = entry.expect("a directory entry").path();
        let module = path
            .file_stem()
            .expect("a file name")
            .to_string_lossy()
            .into_owned();
        if path.is_dir() {
            let inner = fs::read_dir(&path).expect("a directory");
            files.extend(
                inner.map(|entry| (module.clone(), entry.expect("a directory entry").path())),
            );
        } else if !["lib", "main"].contains(&module.as_str()) {
            files.push((module, path));
        }
    }
    let modules: BTreeSet<_> = files.iter().map(|(module, _)| module.clone()).collect();
    let mut graph = Imports::new();
    for (module, path) in files {
        let text = fs::read_to_string(path).expect("a readable file");
        let mut found = imports(&text, &modules);
        found.remove(&module);
        graph.entry(module).or_default().append(&mut found);
    }
    graph
}

#[test]
fn modules_have_no_import_cycle() {
    let mut graph = graph();
    assert!(graph.len() > 30, "modules are missing: {graph:?}");
    assert!(
        graph["request"].contains("router"),
        "the imports of request were not found"
    );
    loop {
        let acyclic: Vec<_> = graph
            .iter()
            .filter(|(_, imports)| imports.iter().all(|name| !graph.contains_key(name)))
            .map(|(module, _)| module.clone())
            .collect();
        if acyclic.is_empty() {
            break;
        }
        graph.retain(|module, _| !acyclic.contains(module));
    }
    assert!(
        graph.is_empty(),
        "modules in an import cycle, or importing one: {graph:#?}"
    );
}
