//! Deterministic answers, derived from version, prompt and position.

use oleander_core::ids::VersionName;

const WORDS: &[&str] = &[
    "route", "menu", "plan", "contains", "milk", "and", "wheat", "for", "the", "stop", "at",
    "noon", "rack", "power", "clause", "term", "tenant", "cage", "ticket", "stock", "with",
    "order", "before", "after", "lot", "serves", "twelve", "each", "crew", "notes",
];

/// Minimum length of an answer, in tokens, unless the caller's limit is lower.
const MIN_ANSWER_TOKENS: u32 = 12;
/// Number of distinct answer lengths.
const ANSWER_LENGTHS: u64 = 24;

/// FNV-1a over the parts, with a separator after each.
pub(super) fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for part in parts {
        for byte in part.iter().chain(&[0xff]) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    hash
}

/// The answer of every engine with `version` to `prompt`, limited to `limit` words.
///
/// ```
/// use oleander_core::ids::VersionName;
/// use oleander_standin::engine::answer_words;
///
/// let version: VersionName = "menu-writer-small@1".parse().unwrap();
/// let words = answer_words(&version, "plan the route", 5);
/// assert_eq!(words.len(), 5);
/// assert_eq!(words, answer_words(&version, "plan the route", 5));
/// ```
#[must_use]
pub fn answer_words(version: &VersionName, prompt: &str, limit: u32) -> Vec<String> {
    answer_words_of_length(version, prompt, answer_length(version, prompt).min(limit))
}

/// Number of tokens of the answer of `version` to `prompt` without a limit.
#[must_use]
pub fn answer_length(version: &VersionName, prompt: &str) -> u32 {
    MIN_ANSWER_TOKENS + (answer_seed(version, prompt) % ANSWER_LENGTHS) as u32
}

/// An answer of exactly `length` words, which may exceed [`answer_length`].
#[must_use]
pub fn answer_words_of_length(version: &VersionName, prompt: &str, length: u32) -> Vec<String> {
    let seed = answer_seed(version, prompt);
    let word = |position: u32| {
        let hash = hash_parts(&[&seed.to_le_bytes(), &position.to_le_bytes()]);
        WORDS[(hash >> 16) as usize % WORDS.len()]
    };
    let token = |position: u32| match position {
        0 => word(0).to_owned(),
        _ => format!(" {}", word(position)),
    };
    (0..length).map(token).collect()
}

fn answer_seed(version: &VersionName, prompt: &str) -> u64 {
    hash_parts(&[version.as_str().as_bytes(), prompt.as_bytes()])
}
