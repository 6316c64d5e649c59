use hdrhistogram::Histogram;

use crate::Score;
use crate::Summary;

/// Header of the Markdown table whose rows [`table_row`] formats.
pub const TABLE_HEADER: &str = "| deployment | shape | policy | attainment % | accelerators | % per accelerator | goodput/s \
| first token p50/p95/p99 ms | between tokens p50/p95/p99 ms | refused % | failed % | loads of models / of adapters / unloads |\n\
|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Returns one row of the table, with the median and range over the scores of several seeds.
pub fn table_row(deployment: &str, shape: &str, policy: &str, scores: &[Score]) -> String {
    let summary = |value: fn(&Score) -> f64, scale, decimals| {
        Summary::of(scores.iter().map(value)).format(scale, decimals)
    };
    let percentiles = |histogram: fn(&Score) -> &Histogram<u64>, decimals| {
        let percentile = |quantile| {
            let values = scores.iter().map(|score| histogram(score).value_at_quantile(quantile) as f64);
            Summary::of(values).format(1e-3, decimals)
        };
        format!("{} / {} / {}", percentile(0.5), percentile(0.95), percentile(0.99))
    };
    format!(
        "| {deployment} | {shape} | {policy} | {} | {} | {} | {} | {} | {} | {} | {} | {} / {} / {} |",
        summary(Score::attainment, 100.0, 1),
        scores[0].accelerators,
        summary(Score::attainment_per_accelerator, 100.0, 2),
        summary(Score::goodput, 1.0, 1),
        percentiles(|score| &score.first_token, 0),
        percentiles(|score| &score.token_gap, 1),
        summary(Score::refusal_rate, 100.0, 1),
        summary(|score| score.failed as f64 / score.arrived.max(1) as f64, 100.0, 1),
        summary(|score| score.moves.models as f64, 1.0, 0),
        summary(|score| score.moves.adapters as f64, 1.0, 0),
        summary(|score| score.moves.unloads as f64, 1.0, 0),
    )
}
