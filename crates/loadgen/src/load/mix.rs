//! Random draw of each request's class, tenant and key. No I/O.

use hallpin_simulation::keys::Keys;
use hallpin_simulation::random::RandomStream;
use hallpin_simulation::run_spec::KeysSpec;
use hallpin_simulation::store::KeyId;
use rand_distr::weighted::WeightedIndex;
use rand_distr::Distribution;

/// A request class and its share of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassShare {
    /// Name, as in the node's settings.
    pub name: String,
    /// Relative frequency among all entries of the list.
    pub share: f64,
    /// Size in bytes of the value that each request writes; `None` for a class of reads.
    pub writes: Option<usize>,
}

/// A tenant and its share of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantShare {
    /// Name, as in the node's settings.
    pub name: String,
    /// Relative frequency among all entries of the list.
    pub share: f64,
}

/// Distribution of classes, tenants and keys over requests.
#[derive(Clone, Debug)]
pub struct MixSpec {
    /// Classes; at least one.
    pub classes: Vec<ClassShare>,
    /// Tenants; if empty, requests name no tenant.
    pub tenants: Vec<TenantShare>,
    /// Number, popularity and drift of the keys.
    pub keys: KeysSpec,
}

/// Error in a [`MixSpec`].
#[derive(Debug, thiserror::Error)]
pub enum MixError {
    /// The class shares do not form a distribution.
    #[error("classes: at least one class, and one share above 0 expected: {0}")]
    Classes(rand_distr::weighted::Error),
    /// The tenant shares do not form a distribution.
    #[error("tenants: at least one share above 0 expected: {0}")]
    Tenants(rand_distr::weighted::Error),
    /// The key popularities do not form a distribution.
    #[error("keys: {0}")]
    Keys(#[from] rand_distr::weighted::Error),
    /// The name of a class or tenant cannot be encoded in a request.
    #[error("{0:?}: a name without spaces, commas and control characters expected")]
    Name(String),
}

/// Class, tenant and key of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant, if any.
    pub tenant: Option<usize>,
    /// Key.
    pub key: KeyId,
}

/// Random source of requests.
pub struct Mix {
    keys: Keys,
    classes: WeightedIndex<f64>,
    tenants: Option<WeightedIndex<f64>>,
    rng: RandomStream,
}

impl Mix {
    /// Creates the source of one worker thread: key popularities are the same for all workers, the random draws differ.
    ///
    /// # Errors
    /// If the class shares, tenant shares or key popularities do not form a distribution, or a name cannot be encoded.
    pub fn new(spec: &MixSpec, seed: u64, worker: usize) -> Result<Self, MixError> {
        let names = spec.classes.iter().map(|c| &c.name).chain(spec.tenants.iter().map(|t| &t.name));
        let is_invalid = |name: &&String| {
            name.is_empty() || name.chars().any(|c| c.is_whitespace() || c.is_control() || c == ',')
        };
        if let Some(name) = names.into_iter().find(is_invalid) {
            return Err(MixError::Name(name.clone()));
        }
        let classes = WeightedIndex::new(spec.classes.iter().map(|c| c.share)).map_err(MixError::Classes)?;
        let tenants = if spec.tenants.is_empty() {
            None
        } else {
            Some(WeightedIndex::new(spec.tenants.iter().map(|t| t.share)).map_err(MixError::Tenants)?)
        };
        let rng = RandomStream::new(seed, &format!("requests of worker {worker}"));
        Ok(Mix { keys: Keys::new(spec.keys.clone(), seed)?, classes, tenants, rng })
    }

    /// Draws the next request.
    pub fn draw(&mut self) -> RequestSpec {
        let class = self.classes.sample(self.rng.generator());
        let tenant = self.tenants.as_ref().map(|tenants| tenants.sample(self.rng.generator()));
        RequestSpec { class, tenant, key: self.keys.draw(&mut self.rng) }
    }

    /// Advances the drift of key popularity by one second.
    pub fn drift(&mut self) {
        self.keys.advance_drift();
    }
}
