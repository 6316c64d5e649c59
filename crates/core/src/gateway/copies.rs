/// Copies per engine that are shared out by demand; above one, engines hold several busy models, which evens out bursts.
const COPIES_PER_ENGINE: f64 = 1.4;

/// Returns how many engines should hold a model with this part of the whole demand, and one at least.
pub fn wanted_copies(share: f64, engines: usize) -> usize {
    let copies = (share * engines as f64 * COPIES_PER_ENGINE).round() as usize;
    copies.clamp(1, engines.max(1))
}
