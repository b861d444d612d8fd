//! The working file: a tree to be edited, with the generation it started from.

use std::fs;
use std::path::Path;

use lynxcleat_settings::Tree;
use serde_json::{Value, json};

use crate::error::Failure;

/// A tree and its base.
#[derive(Clone, Debug)]
pub struct Working {
    /// Generation that the edit starts from; 0 for the first tree.
    pub base: u64,
    /// The tree.
    pub tree: Tree,
}

impl Working {
    /// Reads a working file.
    pub fn read(file: &Path) -> Result<Working, Failure> {
        let value = read_json(file)?;
        let not_working = |reason: &str| Failure::NotWorking {
            file: file.to_owned(),
            reason: reason.to_owned(),
        };
        let base = value.get("base").and_then(Value::as_u64);
        let base = base.ok_or_else(|| not_working("it has no whole number `base`"))?;
        let tree = value.get("tree");
        let tree = tree.ok_or_else(|| not_working("it has no `tree`"))?;
        Ok(Working {
            base,
            tree: parse(file, tree)?,
        })
    }

    /// Writes a working file.
    pub fn write(&self, file: &Path) -> Result<(), Failure> {
        let value = json!({"base": self.base, "tree": self.tree.to_json()});
        let text = format!("{value:#}\n");
        fs::write(file, text).map_err(|error| Failure::File {
            file: file.to_owned(),
            error,
        })
    }
}

/// Reads a tree from a plain tree or a working file.
pub fn read_tree(file: &Path) -> Result<Tree, Failure> {
    let value = read_json(file)?;
    parse(file, value.get("tree").unwrap_or(&value))
}

fn read_json(file: &Path) -> Result<Value, Failure> {
    let text = fs::read_to_string(file).map_err(|error| Failure::File {
        file: file.to_owned(),
        error,
    })?;
    serde_json::from_str(&text).map_err(|error| Failure::Settings {
        file: file.to_owned(),
        error: lynxcleat_settings::SettingsError::NotJson(error.to_string()),
    })
}

fn parse(file: &Path, value: &Value) -> Result<Tree, Failure> {
    Tree::from_json(value).map_err(|error| Failure::Settings {
        file: file.to_owned(),
        error,
    })
}
