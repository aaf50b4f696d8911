use std::fmt::Write;

use crate::Report;

// Lengths in pixels.
const WIDTH: usize = 960;
const ROW_HEIGHT: usize = 18;
const BAR_LEFT: usize = 220;
/// Width of a bar of value 1.
const BAR_WIDTH: f64 = 640.0;
const COLOURS: [&str; 5] = ["#1b6ca8", "#7aa6c2", "#c26b4a", "#8a8a8a", "#5a9367"];

/// Bar chart of the share of value that each policy earned under each pattern, as SVG.
pub fn svg_chart(reports: &[Report]) -> String {
    let mut rows: Vec<(&str, &str, f64)> = Vec::new();
    for report in reports {
        let same = |r: &&Report| r.pattern == report.pattern && r.policy == report.policy;
        if rows
            .iter()
            .any(|(pattern, policy, _)| (*pattern, *policy) == (report.pattern, report.policy))
        {
            continue;
        }
        let worths: Vec<f64> = reports.iter().filter(same).map(|r| r.worth).collect();
        let mean = worths.iter().sum::<f64>() / worths.len().max(1) as f64;
        rows.push((report.pattern, report.policy, mean));
    }
    let mut policies: Vec<&str> = rows.iter().map(|r| r.1).collect();
    policies.sort_unstable();
    policies.dedup();
    let height = (rows.len() + 2) * ROW_HEIGHT;
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <text x=\"8\" y=\"14\">Share of value earned, 0 to 1 (mean over seeds)</text>\n"
    );
    for (i, (pattern, policy, worth)) in rows.iter().enumerate() {
        let y = (i + 2) * ROW_HEIGHT;
        let colour = policies.iter().position(|p| p == policy).unwrap_or(0) % COLOURS.len();
        let width = worth * BAR_WIDTH;
        // Writing to a string cannot fail.
        let _ = writeln!(
            out,
            "<text x=\"8\" y=\"{y}\">{pattern}, {policy}</text>\
             <rect x=\"{BAR_LEFT}\" y=\"{}\" width=\"{width:.1}\" height=\"12\" fill=\"{}\"/>\
             <text x=\"{:.1}\" y=\"{y}\">{worth:.3}</text>",
            y - 11,
            COLOURS[colour],
            BAR_LEFT as f64 + width + 6.0,
        );
    }
    out.push_str("</svg>\n");
    out
}
