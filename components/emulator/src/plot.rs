use std::fmt::Write;

use crate::Report;

const WIDTH: usize = 960;
const ROW: usize = 18;
const LEFT: usize = 220;
const SCALE: f64 = 640.0;
const COLOURS: [&str; 5] = ["#1b6ca8", "#7aa6c2", "#c26b4a", "#8a8a8a", "#5a9367"];

/// Bars of the share of value that each policy earned, by pattern.
pub fn svg_chart(reports: &[Report]) -> String {
    let mut rows: Vec<(&str, &str, f64)> = Vec::new();
    for report in reports {
        let same = |r: &&Report| r.pattern == report.pattern && r.policy == report.policy;
        if rows
            .iter()
            .any(|(p, n, _)| (*p, *n) == (report.pattern, report.policy))
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
    let height = (rows.len() + 2) * ROW;
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <text x=\"8\" y=\"14\">Share of value earned, 0 to 1 (mean over seeds)</text>\n"
    );
    for (i, (pattern, policy, worth)) in rows.iter().enumerate() {
        let y = (i + 2) * ROW;
        let colour = policies.iter().position(|p| p == policy).unwrap_or(0) % COLOURS.len();
        let width = worth * SCALE;
        // Writing to a string cannot fail.
        let _ = writeln!(
            out,
            "<text x=\"8\" y=\"{y}\">{pattern}, {policy}</text>\
             <rect x=\"{LEFT}\" y=\"{}\" width=\"{width:.1}\" height=\"12\" fill=\"{}\"/>\
             <text x=\"{:.1}\" y=\"{y}\">{worth:.3}</text>",
            y - 11,
            COLOURS[colour],
            LEFT as f64 + width + 6.0,
        );
    }
    out.push_str("</svg>\n");
    out
}
