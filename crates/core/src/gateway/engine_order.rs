use crate::gateway::table::PRIORITY_LEVELS;

/// Prompt tokens up to which requests of a priority wait in the order of their arrival.
const BASE_PROMPT_TOKENS: f64 = 512.0;
/// Doublings of the prompt that count. Longer prompts wait in the order of their arrival among each other, so that the
/// longest are not always the last.
const MAX_DOUBLINGS: u8 = 4;
/// Lowest priority that engines accept; 0 is the highest.
const LOWEST_PRIORITY: u8 = PRIORITY_LEVELS as u8 - 1;

/// Returns the priority with which a request waits at an engine; 0 is the highest.
///
/// It addresses load under which engines queue. Of the requests that wait, those go first whose delay costs callers most
/// for the work that they need: each step of `priority`, that of the request among all, halves the cost of a delay, and
/// each doubling of the prompt halves the cost for each token that is read. A short question of a less urgent route
/// delays the others by a few milliseconds, while a long prompt before it would delay it by hundreds.
pub fn engine_priority(priority: u8, prompt_tokens: u64) -> u8 {
    let doublings = (prompt_tokens as f64 / BASE_PROMPT_TOKENS).max(1.0).log2() as u8;
    priority.saturating_add(doublings.min(MAX_DOUBLINGS)).min(LOWEST_PRIORITY)
}
