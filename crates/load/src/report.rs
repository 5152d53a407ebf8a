//! Experiment results, as text tables and as JSON.

use serde::Serialize;
use std::fmt;

/// One cell of a table.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum ReportCell {
    /// A text.
    Text(String),
    /// A number, and how many decimals are shown.
    Number(f64, #[serde(skip)] usize),
}

impl ReportCell {
    /// A text cell.
    #[must_use]
    pub fn text(text: impl Into<String>) -> Self {
        Self::Text(text.into())
    }

    /// A number cell.
    #[must_use]
    pub const fn number(value: f64, decimals: usize) -> Self {
        Self::Number(value, decimals)
    }
}

impl fmt::Display for ReportCell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => f.pad(text),
            Self::Number(value, decimals) => f.pad(&format!("{value:.decimals$}")),
        }
    }
}

/// A named series of points, for plots.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReportSeries {
    /// Name of the series.
    pub name: String,
    /// Points of the series.
    pub points: Vec<(f64, f64)>,
}

/// The result of one experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExperimentReport {
    /// What the experiment measures.
    pub title: String,
    /// Seed of the experiment.
    pub seed: u64,
    /// Names of the columns.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<ReportCell>>,
    /// Notes that are needed to interpret the results.
    pub notes: Vec<String>,
    /// Names of the axes of the plot: x, then y.
    pub axes: (String, String),
    /// Series of the plot; empty if there is no plot.
    pub series: Vec<ReportSeries>,
}

impl ExperimentReport {
    /// An empty report.
    #[must_use]
    pub fn new(title: impl Into<String>, seed: u64, columns: &[&str]) -> Self {
        Self {
            title: title.into(),
            seed,
            columns: columns.iter().map(|&name| name.to_owned()).collect(),
            rows: Vec::new(),
            notes: Vec::new(),
            axes: (String::new(), String::new()),
            series: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<ReportCell>) {
        self.rows.push(row);
    }

    /// Adds a note.
    pub fn add_note(&mut self, note: impl Into<String>) {
        self.notes.push(note.into());
    }

    /// Sets the axes of the plot.
    #[must_use]
    pub fn with_axes(mut self, x: &str, y: &str) -> Self {
        self.axes = (x.to_owned(), y.to_owned());
        self
    }

    fn widths(&self) -> Vec<usize> {
        let cell = |row: &Vec<ReportCell>, index: usize| {
            row.get(index).map_or(0, |cell| cell.to_string().chars().count())
        };
        let widest = |index: usize| self.rows.iter().map(|row| cell(row, index)).max().unwrap_or(0);
        let columns = self.columns.iter().enumerate();
        columns.map(|(index, name)| name.chars().count().max(widest(index))).collect()
    }
}

impl fmt::Display for ExperimentReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} (seed {})", self.title, self.seed)?;
        let widths = self.widths();
        for (name, width) in self.columns.iter().zip(&widths) {
            write!(f, "  {name:<width$}")?;
        }
        writeln!(f)?;
        for row in &self.rows {
            for (cell, &width) in row.iter().zip(&widths) {
                match cell {
                    ReportCell::Text(_) => write!(f, "  {cell:<width$}")?,
                    ReportCell::Number(..) => write!(f, "  {cell:>width$}")?,
                }
            }
            writeln!(f)?;
        }
        self.notes.iter().try_for_each(|note| writeln!(f, "  note: {note}"))
    }
}
