//! Writes a Markdown page with plots from the results of several experiments.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs, io,
    path::{Path, PathBuf},
};

use plotters::prelude::{
    ChartBuilder, DrawingAreaErrorKind, IntoDrawingArea, IntoSegmentedCoord, Rectangle, SVGBackend,
    SegmentValue, BLUE, WHITE,
};
use plotters::style::Color as _;
use serde_json::{Map, Value};

/// Fields of the result that are shown for each scenario, with their units.
const FIGURES: [(&str, &[(&str, &str)]); 7] = [
    (
        "fairness",
        &[
            ("fairness_gap", "s of fleet capacity"),
            ("gap_bound", "s of fleet capacity"),
            ("utilisation", "part of usable slot time"),
        ],
    ),
    (
        "crest",
        &[
            ("crest_service", "part of what capacity allowed"),
            ("crest_worst_share", "service over fair share"),
        ],
    ),
    (
        "control",
        &[
            ("control_bytes_per_s", "bytes/s for a router"),
            ("control_core_share", "cores for a router"),
            ("rss_mb", "MB"),
        ],
    ),
    ("mixed", &[("short_wait_p99_ratio", "ratio")]),
    ("slow", &[("tail_ratio", "ratio")]),
    (
        "flood",
        &[("others_p99_ratio", "ratio"), ("others_lost", "requests")],
    ),
    (
        "faults",
        &[
            ("lost", "operations"),
            ("duplicated", "keys"),
            ("false_not_run", "requests"),
            ("cut_by_planned_stop", "requests"),
            ("config_reverts", "times"),
            ("late_dispatch", "requests"),
            ("unknown", "operations"),
            ("operations", "operations"),
            ("faults_injected", "faults"),
        ],
    ),
];

const PLOT_SIZE: (u32, u32) = (640, 320);

/// Why a report cannot be written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file contains no result.
    #[error("{} contains no JSON object of a result", .0.display())]
    NoResult(PathBuf),
    /// A plot cannot be drawn.
    #[error("cannot draw a plot: {0}")]
    Plot(String),
}

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for Error {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        Self::Plot(error.to_string())
    }
}

type Result<T> = std::result::Result<T, Error>;

/// Reads the last line of each file that is a JSON object.
fn read_results(files: &[PathBuf]) -> Result<Vec<Map<String, Value>>> {
    let mut results = Vec::new();
    for path in files {
        let text = fs::read_to_string(path).map_err(|source| Error::File {
            path: path.clone(),
            source,
        })?;
        let last = text.lines().rev().find(|line| line.starts_with('{'));
        let parsed = last.and_then(|line| serde_json::from_str(line).ok());
        results.push(parsed.ok_or_else(|| Error::NoResult(path.clone()))?);
    }
    Ok(results)
}

fn str_field<'a>(result: &'a Map<String, Value>, key: &str) -> &'a str {
    result.get(key).and_then(Value::as_str).unwrap_or_default()
}

/// Writes `report.md` and one SVG file for each figure into `directory`.
///
/// # Errors
///
/// Returns an error when a file cannot be read or written.
pub fn write(files: &[PathBuf], directory: &Path) -> Result<PathBuf> {
    let results = read_results(files)?;
    let file_error = |path: &Path| {
        let path = path.to_owned();
        move |source| Error::File { path, source }
    };
    fs::create_dir_all(directory).map_err(file_error(directory))?;
    let mut groups: BTreeMap<(&str, &str), Vec<&Map<String, Value>>> = BTreeMap::new();
    for result in &results {
        let group = (
            str_field(result, "scenario"),
            str_field(result, "deployment"),
        );
        groups.entry(group).or_default().push(result);
    }
    let mut page = String::from("# Measurements\n");
    for ((scenario, deployment), group) in &groups {
        let _ = writeln!(page, "\n## {scenario}, {deployment}\n");
        let entry = FIGURES.iter().find(|(name, _)| name == scenario);
        let figures = entry.map_or(&[][..], |(_, figures)| figures);
        write_table(&mut page, figures, group);
        for (figure, unit) in figures {
            let bars: Vec<(String, f64)> = group
                .iter()
                .filter_map(|r| {
                    let label = format!("{} {}", str_field(r, "policy"), r.get("seed")?);
                    Some((label, r.get(*figure)?.as_f64()?))
                })
                .collect();
            if bars.is_empty() {
                continue;
            }
            let name = format!("{scenario}-{deployment}-{figure}.svg");
            draw_plot(&directory.join(&name), &format!("{figure} ({unit})"), &bars)?;
            let _ = writeln!(page, "\n![{figure}]({name})");
        }
    }
    let path = directory.join("report.md");
    fs::write(&path, page).map_err(file_error(&path))?;
    Ok(path)
}

fn write_table(page: &mut String, figures: &[(&str, &str)], group: &[&Map<String, Value>]) {
    let _ = write!(page, "| policy | seed |");
    for (figure, unit) in figures {
        let _ = write!(page, " {figure} ({unit}) |");
    }
    let _ = writeln!(page, "\n|{}", "---|".repeat(figures.len() + 2));
    for result in group {
        let seed = result.get("seed").unwrap_or(&Value::Null);
        let _ = write!(page, "| {} | {seed} |", str_field(result, "policy"));
        for (figure, _) in figures {
            match result.get(*figure).and_then(Value::as_f64) {
                Some(value) if value.fract() == 0.0 => {
                    let _ = write!(page, " {value} |");
                }
                Some(value) => {
                    let _ = write!(page, " {value:.4} |");
                }
                None => page.push_str(" - |"),
            }
        }
        page.push('\n');
    }
}

fn draw_plot(path: &Path, title: &str, bars: &[(String, f64)]) -> Result<()> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let max_value = bars.iter().map(|(_, value)| *value).fold(0.0, f64::max);
    let y_max = if max_value > 0.0 {
        max_value * 1.1
    } else {
        1.0
    };
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d((0..bars.len()).into_segmented(), 0.0..y_max)?;
    let label = |value: &SegmentValue<usize>| match value {
        SegmentValue::CenterOf(index) => bars.get(*index).map(|b| b.0.clone()).unwrap_or_default(),
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(bars.len())
        .x_label_formatter(&label)
        .x_desc("policy and seed")
        .y_desc(title)
        .draw()?;
    chart.draw_series(bars.iter().enumerate().map(|(index, (_, value))| {
        let left = (SegmentValue::Exact(index), 0.0);
        let right = (SegmentValue::Exact(index + 1), *value);
        let mut bar = Rectangle::new([left, right], BLUE.mix(0.6).filled());
        bar.set_margin(0, 0, 20, 20);
        bar
    }))?;
    area.present()?;
    Ok(())
}
