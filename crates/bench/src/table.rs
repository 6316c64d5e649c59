use hdrhistogram::Histogram;

use crate::Score;
use crate::Spread;

/// Head of the table that [`row`] fills.
pub const HEADER: &str = "| deployment | shape | policy | attainment % | accelerators | % per accelerator | goodput/s \
| first token p50/p95/p99 ms | between tokens p50/p95/p99 ms | refused % | failed % | loads of models / of adapters / unloads |\n\
|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Writes one line of the table: median and range over the scores of several seeds.
pub fn row(deployment: &str, shape: &str, policy: &str, scores: &[Score]) -> String {
    let spread = |value: fn(&Score) -> f64, scale, decimals| {
        Spread::of(scores.iter().map(value)).text(scale, decimals)
    };
    let percentiles = |pick: fn(&Score) -> &Histogram<u64>, decimals| {
        let at = |quantile| {
            let values = scores.iter().map(|score| pick(score).value_at_quantile(quantile) as f64);
            Spread::of(values).text(1e-3, decimals)
        };
        format!("{} / {} / {}", at(0.5), at(0.95), at(0.99))
    };
    format!(
        "| {deployment} | {shape} | {policy} | {} | {} | {} | {} | {} | {} | {} | {} | {} / {} / {} |",
        spread(Score::attainment, 100.0, 1),
        scores[0].accelerators,
        spread(Score::per_accelerator, 100.0, 2),
        spread(Score::goodput, 1.0, 1),
        percentiles(|score| &score.first, 0),
        percentiles(|score| &score.gap, 1),
        spread(Score::refusals, 100.0, 1),
        spread(|score| score.failed as f64 / score.arrived.max(1) as f64, 100.0, 1),
        spread(|score| score.moves.models as f64, 1.0, 0),
        spread(|score| score.moves.adapters as f64, 1.0, 0),
        spread(|score| score.moves.unloads as f64, 1.0, 0),
    )
}
