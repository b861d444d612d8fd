//! Files that import each other in a circle can only be read together. The daemon's are kept
//! few: what needs the whole daemon stands apart from the state that the daemon is made of.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Files that may form one circle at most.
const CIRCLE_LIMIT: usize = 6;

type Modules = BTreeMap<String, String>;
type Imports = BTreeMap<String, BTreeSet<String>>;

/// The files under a folder by the names of their modules, without comments.
fn modules(folder: &Path, name: &str, found: &mut Modules) {
    for entry in std::fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        let stem = path.file_stem().expect("a name").to_string_lossy();
        let inner = match (name, &*stem) {
            (_, "mod") => name.to_owned(),
            ("", stem) => stem.to_owned(),
            (name, stem) => format!("{name}::{stem}"),
        };
        if path.is_dir() {
            modules(&path, &inner, found);
        } else {
            let text = std::fs::read_to_string(&path).expect("a source");
            let lines = text
                .lines()
                .map(|line| line.split("//").next().unwrap_or(""));
            found.insert(inner, lines.collect::<Vec<_>>().join("\n"));
        }
    }
}

/// The paths that a `use` names, its braces written out.
fn paths(tree: &str) -> Vec<String> {
    let Some((before, rest)) = tree.split_once('{') else {
        let path = tree.split(" as ").next().unwrap_or(tree);
        return vec![path.trim().to_owned()];
    };
    let inner = rest.rsplit_once('}').map_or(rest, |(inner, _)| inner);
    let mut parts = vec![String::new()];
    let mut depth = 0;
    for sign in inner.chars() {
        match sign {
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if depth == 0 => {
                parts.push(String::new());
                continue;
            }
            _ => {}
        }
        parts.last_mut().expect("one at least").push(sign);
    }
    let parts = parts.iter().filter(|part| !part.trim().is_empty());
    let paths = parts.flat_map(|part| paths(part.trim()));
    paths
        .map(|path| format!("{}{path}", before.trim()))
        .collect()
}

/// The file that a path names from within a module; nothing where it is another crate's.
fn file_of(modules: &Modules, from: &str, path: &str) -> Option<String> {
    let mut base: Vec<&str> = from.split("::").collect();
    let mut parts: Vec<&str> = path.split("::").collect();
    match parts[0] {
        "crate" => base.clear(),
        "self" => {}
        "super" => {
            base.pop();
        }
        child if modules.contains_key(&format!("{from}::{child}")) => parts.insert(0, "self"),
        _ => return None,
    }
    base.extend(&parts[1..]);
    let lengths = (1..=base.len()).rev();
    let mut files = lengths.map(|length| base[..length].join("::"));
    files.find(|file| modules.contains_key(file))
}

fn imports(modules: &Modules) -> Imports {
    let of = |from: &String, text: &String| {
        let statements = text.split(';').filter_map(|part| {
            let line = part.trim_start();
            let line = line.strip_prefix("pub(crate) ").unwrap_or(line);
            let line = line.strip_prefix("pub ").unwrap_or(line);
            line.strip_prefix("use ")
        });
        let used = statements.flat_map(paths);
        let inline = text.split("crate::").skip(1).map(|rest| {
            let is_path = |sign: char| sign.is_alphanumeric() || "_:".contains(sign);
            let end = rest.find(|sign| !is_path(sign)).unwrap_or(rest.len());
            format!("crate::{}", rest[..end].trim_end_matches(':'))
        });
        let files = used
            .chain(inline)
            .filter_map(|path| file_of(modules, from, &path));
        files.filter(|file| file != from).collect()
    };
    modules
        .iter()
        .map(|(from, text)| (from.clone(), of(from, text)))
        .collect()
}

/// All files that a file needs, by way of others too.
fn reached(imports: &Imports, from: &str) -> BTreeSet<String> {
    let mut reached = BTreeSet::new();
    let mut next = vec![from.to_owned()];
    while let Some(file) = next.pop() {
        for other in &imports[&file] {
            if reached.insert(other.clone()) {
                next.push(other.clone());
            }
        }
    }
    reached
}

#[test]
fn no_circle_of_files_is_large() {
    let mut found = Modules::new();
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    modules(&sources, "", &mut found);
    let imports = imports(&found);
    let reach: BTreeMap<_, _> = found
        .keys()
        .map(|file| (file, reached(&imports, file)))
        .collect();
    assert!(
        reach[&"daemon".to_owned()].contains("core"),
        "imports are read"
    );
    for file in found.keys() {
        let circle = reach[file]
            .iter()
            .filter(|other| reach[*other].contains(file));
        let circle: Vec<_> = circle.collect();
        assert!(
            circle.len() <= CIRCLE_LIMIT,
            "{} files: {circle:?}",
            circle.len()
        );
    }
}

#[test]
fn paths_are_written_out() {
    let tree = "crate::mesh::{self, links::{Links, Dial}, Link as L}";
    let wanted = [
        "crate::mesh::self",
        "crate::mesh::links::Links",
        "crate::mesh::links::Dial",
        "crate::mesh::Link",
    ];
    assert_eq!(paths(tree), wanted);
}
