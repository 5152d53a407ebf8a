//! Which pools to look at now, so that the number of upstreams asked a second is bounded.

use crate::ids::PoolName;

/// Takes pools in turn, as many as their upstreams fit into what may be asked.
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
    asks_per_look: i64,
    asks: i64,
    last: Option<PoolName>,
}

impl PoolRotation {
    /// Lets so many upstreams be asked at each look, on average.
    #[must_use]
    pub const fn new(asks_per_look: u32) -> Self {
        Self { asks_per_look: asks_per_look as i64, asks: 0, last: None }
    }

    /// The pools to look at now, given all of them in order with their numbers of upstreams. A
    /// pool that is larger than one look's share is taken whole and paid for by later looks.
    pub fn next_pools(&mut self, pools: &[(PoolName, usize)]) -> Vec<PoolName> {
        self.asks = (self.asks + self.asks_per_look).min(self.asks_per_look);
        let first = self.first(pools);
        let mut taken = Vec::new();
        for offset in 0..pools.len() {
            if self.asks <= 0 {
                break;
            }
            let (pool, upstreams) = &pools[(first + offset) % pools.len()];
            self.asks -= *upstreams as i64;
            self.last = Some(pool.clone());
            taken.push(pool.clone());
        }
        taken
    }

    /// Index of the pool after the one that was taken last.
    fn first(&self, pools: &[(PoolName, usize)]) -> usize {
        let Some(last) = &self.last else { return 0 };
        pools.iter().position(|(pool, _)| pool > last).unwrap_or(0)
    }
}
