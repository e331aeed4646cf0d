//! Tests of the page and the plots of results.

use std::fs;

use tsw_load::report;

/// Guards against a page without values or plots, and against accepting files without a result.
#[test]
fn writes_a_page_with_plots() {
    let directory = tempfile::tempdir().expect("directory");
    let file = directory.path().join("run.json");
    let result =
        r#"{"scenario":"slow","deployment":"quesada","policy":"fifo","seed":3,"tail_ratio":2.5}"#;
    fs::write(&file, format!("log line\n{result}\n")).expect("result");
    let page = report::write(std::slice::from_ref(&file), directory.path()).expect("page");
    let text = fs::read_to_string(page).expect("page");
    assert!(text.contains("| fifo | 3 | 2.5000 |"), "{text}");
    let plot = directory.path().join("slow-quesada-tail_ratio.svg");
    let plot = fs::read_to_string(plot).expect("plot");
    assert!(plot.contains("tail_ratio (ratio)") && plot.contains("fifo 3"));

    fs::write(&file, "nothing").expect("file");
    let refused = report::write(&[file], directory.path());
    assert!(matches!(refused, Err(report::Error::NoResult(_))));
}
