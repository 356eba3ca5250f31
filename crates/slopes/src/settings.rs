//! Cost of reading settings.

use std::hint::black_box;

use apricotdale_settings::Document;

use crate::errors::Result;
use crate::meter::thread_us;
use crate::slope::Slope;
use crate::slope::Unit;

const SECTIONS: &[usize] = &[100, 700, 1_400, 2_800];

/// Measures the INI reader by the number of sections, of which a file has one for each adapter.
///
/// # Errors
///
/// [`Error::TooFewPoints`](crate::Error::TooFewPoints), which the constant sizes rule out.
pub fn settings() -> Result<Vec<Slope>> {
    Ok(vec![Slope::measure(
        "ini_read",
        Unit::CpuMicroseconds,
        "section",
        SECTIONS,
        |sections| {
            let text = text(sections);
            Ok(thread_us(|| {
                black_box(Document::read(black_box(&text)));
            }))
        },
    )?])
}

fn text(sections: usize) -> String {
    let section = |number| {
        format!("[model adapter-{number}]\nbase = slot-lm\ngroup = planner-lm\nbytes = 300000000\n")
    };
    (0..sections).map(section).collect()
}
