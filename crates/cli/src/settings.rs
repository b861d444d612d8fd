//! The `settings` commands.

use std::path::Path;

use lynxcleat_settings::{FIELDS, FieldKind, Origin, ResolvedField, Tree, diff, field};
use lynxcleat_store::{Platform, accepted_change, history, read_tree as read_in_force};
use serde_json::{Value, json};

use crate::Done;
use crate::accept;
use crate::args::{Format, Paging, SettingsAction, ShowArgs};
use crate::error::Failure;
use crate::fleet;
use crate::working::{Working, read_tree};

/// Runs one of them.
pub fn run(action: SettingsAction) -> Done {
    match action {
        SettingsAction::Fields => fields(),
        SettingsAction::Check { file } => check(&file),
        SettingsAction::Pull { platform, file } => pull(&platform, &file),
        SettingsAction::Show(args) => show(&args),
        SettingsAction::Set { file, path, value } => set(&file, &path, &value),
        SettingsAction::Unset { file, path } => unset(&file, &path),
        SettingsAction::Diff { platform, file } => show_diff(&platform, &file),
        SettingsAction::Accept(args) => accept::run(&args),
        SettingsAction::Status {
            platform,
            change: Some(change),
            ..
        } => change_status(&platform, &change),
        SettingsAction::Status {
            platform, format, ..
        } => status(&platform, format),
        SettingsAction::History {
            platform,
            paging,
            format,
        } => show_history(&platform, paging, format),
    }
}

/// A client for an operator, who waits for the outcome.
pub fn client(url: &str) -> Platform {
    Platform::builder(url).build()
}

fn fields() -> Done {
    for spec in FIELDS {
        let values = match spec.kind {
            FieldKind::Whole { min, max, default } => {
                format!("{min}..={max} {}, default {default}", spec.unit)
            }
            FieldKind::Choice(words) => format!("{}, default {}", words.join(" | "), words[0]),
            FieldKind::Path => "a path that starts with /, default none".to_owned(),
            FieldKind::Name => "a name, default none".to_owned(),
            FieldKind::Names => "names joined by commas, default none".to_owned(),
        };
        println!("{:24} {}\n{:24}   {values}", spec.name, spec.help, "");
    }
    Ok(())
}

fn check(file: &Path) -> Done {
    let tree = read_tree(file)?;
    let services: usize = tree
        .places()
        .iter()
        .map(|place| tree.services(place).len())
        .sum();
    println!(
        "{}: good, {} places, {services} services at places",
        file.display(),
        tree.places().len()
    );
    Ok(())
}

fn pull(platform: &str, file: &Path) -> Done {
    let (base, tree) = read_in_force(&client(platform))?;
    Working { base, tree }.write(file)?;
    println!("{}: generation {base}", file.display());
    Ok(())
}

fn show(args: &ShowArgs) -> Done {
    let tree = match (&args.file, &args.platform) {
        (Some(file), _) => read_tree(file)?,
        (None, Some(url)) => read_in_force(&client(url))?.1,
        (None, None) => return Err(Failure::NoSource),
    };
    if args.place.is_none() && args.service.is_none() {
        println!("{:#}", tree.to_json());
        return Ok(());
    }
    let place = args.place.as_deref().unwrap_or_default();
    let service = args.service.as_deref().unwrap_or_default();
    check_names(&tree, place, service)?;
    let resolved = tree.resolve(place, service);
    match args.format {
        Format::Json => println!("{:#}", json!(resolved)),
        Format::Text => show_lines(&resolved, args.origin),
    }
    Ok(())
}

fn check_names(tree: &Tree, place: &str, service: &str) -> Done {
    let missing = |kind, name: &str| {
        Err(Failure::NoSuch {
            kind,
            name: name.to_owned(),
        })
    };
    if !place.is_empty() && !tree.places().contains(&place) {
        return missing("place", place);
    }
    if !service.is_empty() && !tree.has_service(service) {
        return missing("service", service);
    }
    Ok(())
}

fn show_lines(resolved: &[ResolvedField], origin: bool) {
    for field in resolved {
        let value = match &field.value {
            Value::String(word) => word.clone(),
            Value::Array(names) => joined(names),
            other => other.to_string(),
        };
        let level = match &field.origin {
            Origin::Default => "default",
            Origin::Level(level) => level,
        };
        if origin {
            println!("{:24} {value:16} {level}", field.name);
        } else {
            println!("{:24} {value}", field.name);
        }
    }
}

/// A list as it is written on the command line.
fn joined(names: &[Value]) -> String {
    let names: Vec<&str> = names.iter().filter_map(Value::as_str).collect();
    names.join(",")
}

/// A value on the command line: a whole number, a word, or names joined by commas.
fn parse_value(path: &str, text: &str) -> Value {
    let name = path.rsplit('.').next().unwrap_or_default();
    match field(name).map(|spec| spec.kind) {
        Some(FieldKind::Names) => text.split(',').filter(|one| !one.is_empty()).collect(),
        Some(FieldKind::Name) => text.into(),
        _ => parse_plain(text),
    }
}

fn parse_plain(text: &str) -> Value {
    text.parse::<u64>()
        .map_or_else(|_| text.into(), Value::from)
}

fn set(file: &Path, path: &str, value: &str) -> Done {
    let mut working = Working::read(file)?;
    let before = working.tree.clone();
    working.tree.set(path, parse_value(path, value))?;
    working.write(file)?;
    for change in diff(&before, &working.tree) {
        println!("{change}");
    }
    Ok(())
}

fn unset(file: &Path, path: &str) -> Done {
    let mut working = Working::read(file)?;
    let before = working.tree.clone();
    working.tree.unset(path)?;
    working.write(file)?;
    for change in diff(&before, &working.tree) {
        println!("{change}");
    }
    Ok(())
}

fn show_diff(platform: &str, file: &Path) -> Done {
    let working = Working::read(file)?;
    let (generation, tree) = read_in_force(&client(platform))?;
    if working.base != generation {
        println!(
            "# based on generation {}; {generation} is in force",
            working.base
        );
    }
    for change in diff(&tree, &working.tree) {
        println!("{change}");
    }
    Ok(())
}

fn change_status(platform: &str, change: &str) -> Done {
    match accepted_change(&client(platform), change, 0)? {
        Some(row) => {
            println!(
                "change {change} was accepted as generation {}",
                row.generation
            );
            Ok(())
        }
        None => Err(Failure::NoSuchChange(change.to_owned())),
    }
}

fn status(platform: &str, format: Format) -> Done {
    let platform = client(platform);
    let (generation, _) = read_in_force(&platform)?;
    let standing = fleet::ask(&fleet::listed(&platform)?, generation);
    match format {
        Format::Json => println!("{:#}", json!(standing)),
        Format::Text => fleet::print(&standing),
    }
    Ok(())
}

fn show_history(platform: &str, paging: Paging, format: Format) -> Done {
    let rows = history(&client(platform), paging.after, paging.limit)?;
    if format == Format::Json {
        println!("{:#}", json!(rows));
        return Ok(());
    }
    for row in rows {
        println!(
            "{:6} {} {:12} {:4} changes  {}  {}",
            row.generation, row.when_ms, row.who, row.changes, row.change_id, row.note
        );
    }
    Ok(())
}
