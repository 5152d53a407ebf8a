//! Models of the two deployments: versions, task classes and answer quality.

use oleander_core::catalog::objects::{
    AllowRule, Cascade, Catalog, ClientAccount, Model, Pool, Priority, Version,
};
use oleander_core::ids::{CascadeName, IdError, ModelName, PoolName, VersionName};
use oleander_core::units::{Millis, Money, Quality, TokenCount, UnitError};
use std::collections::BTreeMap;

/// A deployment that is modelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeploymentKind {
    /// Cascade Curbside Kitchens: a burst during morning preparation.
    Curbside,
    /// Teranga Baie Datacentres: a mix of contracts, questions and tags.
    Teranga,
}

impl DeploymentKind {
    /// The name, as given on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Curbside => "curbside",
            Self::Teranga => "teranga",
        }
    }
}

/// One version and the engines that run it.
#[derive(Clone, Debug, PartialEq)]
pub struct TierModel {
    /// Name of the model, the version and the pool.
    pub name: &'static str,
    /// Price of a thousand prompt tokens, in millionths.
    pub price_in: u64,
    /// Price of a thousand generated tokens, in millionths.
    pub price_out: u64,
    /// Prefill time per token, in microseconds.
    pub prefill_us: f64,
    /// Time between tokens on an idle engine, in milliseconds.
    pub token_gap_ms: u64,
    /// Number of engines in the pool.
    pub engine_count: usize,
    /// Maximum number of concurrent requests per engine.
    pub slots: u32,
}

/// One task class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassModel {
    /// Name of the cascade.
    pub name: &'static str,
    /// Share of arrivals.
    pub share: f64,
    /// Mean tokens of the prompt.
    pub prompt: f64,
    /// Mean tokens of the answer.
    pub answer: f64,
    /// Share of the prompt that is a prefix shared with other requests.
    pub prefix_share: f64,
    /// Number of distinct shared prefixes.
    pub prefixes: u64,
    /// Quality target.
    pub target: f64,
    /// Deadline in seconds.
    pub deadline: f64,
    /// True mean quality of each tier.
    pub quality: [f64; 3],
    /// Error of the catalog's expected quality for each tier.
    pub prior_error: [f64; 3],
}

/// One deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentModel {
    /// Which deployment is modelled.
    pub kind: DeploymentKind,
    /// Versions, from the cheapest to the most expensive.
    pub tiers: Vec<TierModel>,
    /// Task classes.
    pub classes: Vec<ClassModel>,
}

const fn tier(
    name: &'static str,
    price: (u64, u64),
    speed: (f64, u64),
    engine_count: usize,
) -> TierModel {
    TierModel {
        name,
        price_in: price.0,
        price_out: price.1,
        prefill_us: speed.0,
        token_gap_ms: speed.1,
        engine_count,
        slots: 8,
    }
}

impl DeploymentModel {
    /// The model of a deployment.
    #[must_use]
    pub fn new(kind: DeploymentKind) -> Self {
        let tiers = vec![
            tier("small", (150, 600), (60.0, 8), 3),
            tier("medium", (500, 2_000), (110.0, 14), 3),
            tier("large", (2_500, 10_000), (200.0, 24), 10),
        ];
        let classes = match kind {
            DeploymentKind::Curbside => curbside_classes(),
            DeploymentKind::Teranga => teranga_classes(),
        };
        Self { kind, tiers, classes }
    }

    /// Reduces the deployment to its last tier, and so to one pool, for measurements of upstream
    /// selection.
    #[must_use]
    pub fn with_last_tier_only(mut self) -> Self {
        self.tiers.drain(..self.tiers.len() - 1);
        for class in &mut self.classes {
            class.quality[0] = class.quality[2];
            class.prior_error[0] = class.prior_error[2];
        }
        self
    }

    /// The catalog of the deployment.
    ///
    /// # Errors
    ///
    /// When a name or a quality is not valid.
    pub fn catalog(&self) -> anyhow::Result<Catalog> {
        let mut catalog = Catalog::default();
        for (index, tier) in self.tiers.iter().enumerate() {
            let name = VersionName::new(tier.name)?;
            catalog.versions.insert(name.clone(), self.version(index, tier)?);
            catalog.models.insert(ModelName::new(tier.name)?, Model { current: name });
            let pool = Pool { upstreams: BTreeMap::new(), retry_share: 0.08 };
            catalog.pools.insert(PoolName::new(tier.name)?, pool);
        }
        for class in &self.classes {
            catalog.cascades.insert(CascadeName::new(class.name)?, self.cascade(class)?);
        }
        Ok(catalog)
    }

    /// A client account that may use every model, without a rate limit.
    ///
    /// # Errors
    ///
    /// When a name is not valid.
    pub fn account(&self) -> Result<ClientAccount, IdError> {
        let allow_rule = |tier: &TierModel| {
            ModelName::new(tier.name).map(|model| AllowRule { model, versions: None })
        };
        Ok(ClientAccount {
            key_digests: Vec::new(),
            allow: self.tiers.iter().map(allow_rule).collect::<Result<_, _>>()?,
            services: Vec::new(),
            requests_per_second: f64::MAX,
            burst: u32::MAX,
            weight: 1,
            priority: Priority::Normal,
        })
    }

    fn version(&self, index: usize, tier: &TierModel) -> anyhow::Result<Version> {
        let expected = |class: &ClassModel| -> anyhow::Result<(CascadeName, Quality)> {
            let quality = (class.quality[index] + class.prior_error[index]).clamp(0.0, 1.0);
            Ok((CascadeName::new(class.name)?, Quality::new(quality)?))
        };
        let share: f64 = self.classes.iter().map(|class| class.share).sum();
        let prompt: f64 = self.classes.iter().map(|class| class.share * class.prompt).sum();
        let first_token = prompt / share * tier.prefill_us / 1_000.0;
        Ok(Version {
            model: ModelName::new(tier.name)?,
            pool: PoolName::new(tier.name)?,
            price_in: Money::from_micros(tier.price_in),
            price_out: Money::from_micros(tier.price_out),
            quality: self.classes.iter().map(expected).collect::<Result<_, _>>()?,
            first_token: Millis::new(first_token as u64),
            token_gap: Millis::new(tier.token_gap_ms),
            context: TokenCount::new(200_000),
            weight_megabytes: 0,
        })
    }

    fn cascade(&self, class: &ClassModel) -> anyhow::Result<Cascade> {
        let steps = self.tiers.iter().map(|tier| ModelName::new(tier.name));
        let target: Result<Quality, UnitError> = Quality::new(class.target);
        Ok(Cascade {
            steps: steps.collect::<Result<_, _>>()?,
            quality_target: target?,
            deadline: Millis::new((class.deadline * 1_000.0) as u64),
            answer_tokens: TokenCount::new(class.answer as u32),
        })
    }
}

fn curbside_classes() -> Vec<ClassModel> {
    vec![
        ClassModel {
            name: "menu-plan",
            share: 0.35,
            prompt: 900.0,
            answer: 400.0,
            prefix_share: 0.6,
            prefixes: 24,
            target: 0.82,
            deadline: 45.0,
            quality: [0.70, 0.80, 0.90],
            prior_error: [0.05, -0.04, 0.0],
        },
        ClassModel {
            name: "allergen-summary",
            share: 0.20,
            prompt: 1_500.0,
            answer: 250.0,
            prefix_share: 0.5,
            prefixes: 40,
            target: 0.90,
            deadline: 30.0,
            quality: [0.62, 0.80, 0.93],
            prior_error: [0.06, 0.05, 0.0],
        },
        ClassModel {
            name: "stock-lookup",
            share: 0.45,
            prompt: 300.0,
            answer: 60.0,
            prefix_share: 0.5,
            prefixes: 6,
            target: 0.80,
            deadline: 8.0,
            quality: [0.88, 0.92, 0.94],
            prior_error: [-0.06, 0.0, 0.0],
        },
    ]
}

fn teranga_classes() -> Vec<ClassModel> {
    vec![
        ClassModel {
            name: "contract-draft",
            share: 0.12,
            prompt: 6_000.0,
            answer: 800.0,
            prefix_share: 0.8,
            prefixes: 30,
            target: 0.90,
            deadline: 120.0,
            quality: [0.55, 0.72, 0.93],
            prior_error: [0.05, 0.06, 0.0],
        },
        ClassModel {
            name: "tenant-question",
            share: 0.38,
            prompt: 2_000.0,
            answer: 200.0,
            prefix_share: 0.7,
            prefixes: 30,
            target: 0.82,
            deadline: 30.0,
            quality: [0.70, 0.81, 0.90],
            prior_error: [-0.05, -0.05, 0.0],
        },
        ClassModel {
            name: "ticket-tag",
            share: 0.50,
            prompt: 350.0,
            answer: 20.0,
            prefix_share: 0.6,
            prefixes: 4,
            target: 0.85,
            deadline: 8.0,
            quality: [0.89, 0.93, 0.95],
            prior_error: [-0.06, 0.0, 0.0],
        },
    ]
}
