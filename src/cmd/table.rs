//! Tables for people and JSON for programs.

use serde::Serialize;

use crate::core::config::Versioned;
use crate::core::ids::ConfigVersion;

/// Prints rows under a head, each column as wide as its widest cell.
pub(crate) fn print_table(head: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].len());
        cells.chain([head[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let line = |cells: &[String]| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line: Vec<String> = padded.collect();
        println!("{}", line.join("  ").trim_end());
    };
    line(&head.iter().map(|cell| (*cell).to_owned()).collect::<Vec<_>>());
    for row in rows {
        line(row);
    }
}

/// Prints a value as one JSON document.
pub(crate) fn print_json(value: &impl Serialize) {
    println!("{}", serde_json::to_string_pretty(value).expect("output serializes"));
}

/// A configured object as JSON shows it: its own fields and the change that last touched it.
#[derive(Debug, Serialize)]
struct VersionedLine<'a, T> {
    #[serde(flatten)]
    spec: &'a T,
    version: ConfigVersion,
}

/// Prints configured objects as JSON, or as a table whose last column is their version.
pub(crate) fn print_versioned<T: Serialize>(
    found: &[Versioned<T>],
    json: bool,
    head: &[&str],
    row: impl Fn(&T) -> Vec<String>,
) {
    if json {
        let lines = found.iter();
        let lines = lines
            .map(|Versioned { version, value }| VersionedLine { spec: value, version: *version });
        print_json(&lines.collect::<Vec<_>>());
        return;
    }
    let head: Vec<&str> = head.iter().copied().chain(["VERSION"]).collect();
    let row = |found: &Versioned<T>| {
        let mut cells = row(&found.value);
        cells.push(found.version.to_string());
        cells
    };
    print_table(&head, &found.iter().map(row).collect::<Vec<_>>());
}
