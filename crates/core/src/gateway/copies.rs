/// Copies per engine that are distributed by demand. Above one, an engine holds several busy models, which
/// evens out bursts.
const COPIES_PER_ENGINE: f64 = 1.4;

/// Returns how many engines should hold a model that has the given share of the total demand; at least one.
pub fn wanted_copies(share: f64, engines: usize) -> usize {
    let copies = (share * engines as f64 * COPIES_PER_ENGINE).round() as usize;
    copies.clamp(1, engines.max(1))
}
