//! Raw figures, a Markdown page and plots.

use std::{fmt::Write as _, fs, io, path::Path};

use plotters::{
    prelude::{
        BLACK, ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
        PathElement, SVGBackend, SeriesLabelPosition, WHITE,
    },
    style::RGBColor,
};
use types::Class;

use crate::summary::{CURVE, Summary};

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (720, 420);
/// Where the curve of gaps ends, as the part of gaps above.
const CURVE_END: f64 = 0.00005;

/// Writes all of it into a directory.
///
/// # Errors
/// Passes on what can't be written.
pub fn write(dir: &Path, name: &str, command: &str, runs: &[Summary]) -> io::Result<()> {
    fs::create_dir_all(dir)?;
    fs::write(dir.join("figures.json"), serde_json::to_vec_pretty(runs)?)?;
    let mut page = format!("# {name}\n\nCommand: `{command}`\n");
    let mut loads: Vec<f64> = runs.iter().map(|run| run.load).collect();
    loads.dedup();
    for load in loads {
        let same: Vec<&Summary> = runs.iter().filter(|run| run.load == load).collect();
        // Writing to a string can't fail.
        let _ = writeln!(page, "\n## Load {:.0}%\n", load * 100.0);
        page += &tables(&same);
        let file = format!("gaps-{:.0}.svg", load * 100.0);
        plot_gaps(&dir.join(&file), &same).map_err(io::Error::other)?;
        let _ = writeln!(page, "\n![Time between tokens]({file})");
        if same.iter().any(|run| run.left.is_some()) {
            let file = format!("seconds-{:.0}.svg", load * 100.0);
            plot_seconds(&dir.join(&file), &same).map_err(io::Error::other)?;
            let _ = writeln!(page, "\n![Requests answered whole, by second]({file})");
        }
    }
    fs::write(dir.join("report.md"), page)
}

fn tables(runs: &[&Summary]) -> String {
    let mut text = String::from(
        "| strategy | preemptions /1,000 | engine stall s /1,000 | caller stall s /1,000 | gap ms p50 | p99 | p99.9 | max | goodput gen/s | tokens/s | overfills | most memory | unended |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for run in runs {
        let per_thousand = 1000.0 / run.generations.max(1) as f64;
        let _ = writeln!(
            text,
            "| {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.1} | {:.0} | {} | {:.0}% | {} |",
            run.strategy,
            run.preemptions,
            run.engines.stall_s * per_thousand,
            run.stall_s,
            run.gaps.p50,
            run.gaps.p99,
            run.gaps.p999,
            run.gaps.max,
            run.goodput,
            run.token_goodput,
            run.engines.overfills,
            run.engines.most_used * 100.0,
            run.unended,
        );
    }
    text += "\n| strategy | class | sent | whole | partial | refused | broken | wrong | first ms p50 | p95 | p99 | max |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for run in runs {
        for class in Class::ALL {
            let Some(fared) = run.classes.get(&class) else {
                continue;
            };
            let refused: Vec<String> = fared
                .refused
                .iter()
                .map(|(c, n)| format!("{c} {n}"))
                .collect();
            let _ = writeln!(
                text,
                "| {} | {class} | {} | {} | {} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.0} |",
                run.strategy,
                fared.sent,
                fared.whole,
                fared.partial,
                refused.join(", "),
                fared.broken,
                fared.wrong,
                fared.first.p50,
                fared.first.p95,
                fared.first.p99,
                fared.first.max,
            );
        }
    }
    for run in runs {
        if let Some(left) = run.left {
            let _ = writeln!(
                text,
                "\n{}: both changes accepted: {}; generations taken there later than 3 s after: {}",
                run.strategy, left.accepted, left.late,
            );
        }
    }
    text
}

type Drawn = Result<(), Box<dyn std::error::Error + Send + Sync>>;

fn plot_gaps(path: &Path, runs: &[&Summary]) -> Drawn {
    let top = runs.iter().map(|run| run.gaps.max).fold(10.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Gaps between tokens longer than this, in ms",
            ("sans-serif", 16),
        )
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d((CURVE_END..0.5).log_scale(), (1.0..top).log_scale())?;
    chart.configure_mesh().x_desc("part of all gaps").draw()?;
    for (number, run) in runs.iter().enumerate() {
        let color = color(number);
        let above = CURVE.iter().map(|above| above.max(CURVE_END));
        let points = above.zip(run.curve.iter().map(|ms| ms.max(1.0)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(run.strategy.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn plot_seconds(path: &Path, runs: &[&Summary]) -> Drawn {
    let end = runs
        .iter()
        .map(|run| run.seconds_by.len())
        .max()
        .unwrap_or(1);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Part of the requests sent in a second that were answered whole",
            ("sans-serif", 16),
        )
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end as f64, 0.0..1.05)?;
    chart
        .configure_mesh()
        .x_desc("seconds after the warm-up")
        .draw()?;
    for (number, run) in runs.iter().enumerate() {
        let color = color(number);
        let part = |(n, second): (usize, &crate::summary::Second)| {
            (
                n as f64,
                f64::from(second.whole) / f64::from(second.sent.max(1)),
            )
        };
        let points = run.seconds_by.iter().enumerate().map(part);
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(run.strategy.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn color(number: usize) -> RGBColor {
    let (r, g, b) = Palette99::COLORS[number % Palette99::COLORS.len()];
    RGBColor(r, g, b)
}
