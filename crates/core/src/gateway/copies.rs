/// Copies per engine that are shared out by demand; above one, engines hold several busy models, which evens out bursts.
const SHARED_OUT: f64 = 1.4;

/// Returns how many engines should hold a model with this part of the whole demand, and one at least.
pub fn wanted_copies(part: f64, engines: usize) -> usize {
    let copies = (part * engines as f64 * SHARED_OUT).round() as usize;
    copies.clamp(1, engines.max(1))
}
