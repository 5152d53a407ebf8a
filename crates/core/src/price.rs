//! Price of an answer.

use crate::catalog::objects::Version;
use crate::units::{Money, TokenCount};

const TOKENS_PER_PRICE_UNIT: u128 = 1_000;

/// Token counts of a prompt and its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUse {
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// Tokens of the answer.
    pub answer: TokenCount,
}

/// Price of an answer, rounded up to a millionth. Prices are per 1000 tokens.
///
/// ```
/// use oleander_core::price::{TokenUse, answer_price};
/// use oleander_core::units::{Money, TokenCount};
///
/// let used = TokenUse { prompt: TokenCount::new(500), answer: TokenCount::new(1) };
/// let (price_in, price_out) = (Money::from_micros(100), Money::from_micros(1_500));
/// assert_eq!(answer_price(price_in, price_out, used), Money::from_micros(52));
/// ```
#[must_use]
pub fn answer_price(price_in: Money, price_out: Money, used: TokenUse) -> Money {
    let part =
        |price: Money, tokens: TokenCount| u128::from(price.as_micros()) * u128::from(tokens.get());
    let sum = part(price_in, used.prompt) + part(price_out, used.answer);
    let micros = sum.div_ceil(TOKENS_PER_PRICE_UNIT);
    Money::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// Price of an answer at the prices of a version.
#[must_use]
pub fn version_price(version: &Version, used: TokenUse) -> Money {
    answer_price(version.price_in, version.price_out, used)
}

/// Bytes of text per token, for estimates when the engine reports no token count.
const BYTES_PER_TOKEN: usize = 4;

/// Estimated number of tokens of a text.
#[must_use]
pub fn estimate_tokens(text_bytes: usize) -> TokenCount {
    let tokens = text_bytes.div_ceil(BYTES_PER_TOKEN);
    TokenCount::new(u32::try_from(tokens).unwrap_or(u32::MAX))
}
