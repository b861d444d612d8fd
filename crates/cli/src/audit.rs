//! `audit`: the trail of changes, and operations left unsettled.

use lynxcleat_store::{AuditEntry, Platform, PlatformError, Row, UnsettledRow, audit_key, keys};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::Done;
use crate::args::{AuditArgs, Format};
use crate::settings::client;

/// Prints the part of the trail asked for.
pub fn run(args: &AuditArgs) -> Done {
    let platform = client(&args.platform);
    if args.unsettled {
        let rows: Vec<UnsettledRow> = read(&platform, keys::UNSETTLED, "", args.paging.limit)?;
        show(args.format, &rows, |row| {
            format!(
                "{} {:14} {:14} {}  {}",
                row.when_ms, row.service, row.host, row.ticket, row.reason
            )
        });
        return Ok(());
    }
    let after = audit_key(args.paging.after, usize::MAX);
    let entries: Vec<AuditEntry> = read(&platform, keys::AUDIT, &after, args.paging.limit)?;
    show(args.format, &entries, |entry| {
        format!(
            "{:6} {} {:12} {}  {}",
            entry.generation, entry.when_ms, entry.who, entry.change_id, entry.change
        )
    });
    Ok(())
}

fn read<T: DeserializeOwned>(
    platform: &Platform,
    prefix: &str,
    after: &str,
    limit: usize,
) -> Result<Vec<T>, PlatformError> {
    let rows = platform.scan(prefix, after, limit)?;
    rows.into_iter().map(parse).collect()
}

fn parse<T: DeserializeOwned>(row: Row) -> Result<T, PlatformError> {
    serde_json::from_value(row.value).map_err(|error| PlatformError::Malformed {
        path: row.key,
        reason: error.to_string(),
    })
}

fn show<T: Serialize>(format: Format, rows: &[T], line: impl Fn(&T) -> String) {
    match format {
        Format::Json => println!("{:#}", json!(rows)),
        Format::Text => {
            for row in rows {
                println!("{}", line(row));
            }
        }
    }
}
