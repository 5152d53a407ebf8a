//! Rotation over pools that bounds the number of upstreams polled per second.

use crate::ids::PoolName;

/// Selects pools in turn, as many as the polling budget covers.
///
/// ```
/// use oleander_core::ids::PoolName;
/// use oleander_core::pool_rotation::PoolRotation;
///
/// let pools = [(PoolName::new("a").unwrap(), 40), (PoolName::new("b").unwrap(), 40)];
/// let mut rotation = PoolRotation::new(60);
/// assert_eq!(rotation.next_pools(&pools).len(), 2);
/// assert_eq!(rotation.next_pools(&pools).len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct PoolRotation {
    polls_per_pass: i64,
    poll_budget: i64,
    last_pool: Option<PoolName>,
}

impl PoolRotation {
    /// A rotation that polls `polls_per_pass` upstreams in each pass, on average.
    #[must_use]
    pub const fn new(polls_per_pass: u32) -> Self {
        Self { polls_per_pass: polls_per_pass as i64, poll_budget: 0, last_pool: None }
    }

    /// The pools to poll now. `pools` lists all pools in order of name, with their numbers of
    /// upstreams. A pool that exceeds the budget is polled completely, and the excess is charged to
    /// later passes.
    pub fn next_pools(&mut self, pools: &[(PoolName, usize)]) -> Vec<PoolName> {
        self.poll_budget = (self.poll_budget + self.polls_per_pass).min(self.polls_per_pass);
        let first_index = self.first_index(pools);
        let mut selected = Vec::new();
        for offset in 0..pools.len() {
            if self.poll_budget <= 0 {
                break;
            }
            let (pool, upstreams) = &pools[(first_index + offset) % pools.len()];
            self.poll_budget -= *upstreams as i64;
            self.last_pool = Some(pool.clone());
            selected.push(pool.clone());
        }
        selected
    }

    /// Index of the pool after the one that was selected last.
    fn first_index(&self, pools: &[(PoolName, usize)]) -> usize {
        let Some(last_pool) = &self.last_pool else { return 0 };
        pools.iter().position(|(pool, _)| pool > last_pool).unwrap_or(0)
    }
}
