//! Options and configuration of the process, read and checked whole before anything starts.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hallpin_balancer::Settings;
use tokio::net::TcpListener;

use crate::clock::Clock;
use crate::config::Config;
use crate::frontend;
use crate::operator::Operator;
use crate::plane::Setup;
use crate::stop::ShutdownTimes;
use crate::upstream::Bounds;
use crate::{Failure, Options};

/// Options and configuration, read and checked before anything starts.
pub(super) struct Configuration {
    pub(super) path: PathBuf,
    pub(super) config: Config,
    pub(super) seed: u64,
    pub(super) settings: Settings,
    pub(super) operator_address: Option<SocketAddr>,
    pub(super) fleet: Option<Setup>,
    pub(super) clock: Clock,
    pub(super) shutdown_times: ShutdownTimes,
    pub(super) error_delay: Duration,
}

impl Configuration {
    pub(super) fn read(options: Options) -> Result<Self, Failure> {
        let path = Config::path(options.config)?;
        let config = Config::read(&path)?;
        let (seed, settings, operator_address) = (config.seed()?, config.settings()?, config.operator()?);
        let fleet = options.fleet.as_deref().map(|file| Setup::read(file, &config)).transpose()?;
        let clock = Clock::start();
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let longest = deadlines.clone().fold(0.0, f64::max);
        let shortest = deadlines.fold(longest, f64::min);
        let shutdown_times = ShutdownTimes::of(config.seconds("hard-limit-s", longest)?);
        let error_delay = frontend::error_delay(config.seconds("hard-limit-s", shortest)?);
        Ok(Configuration {
            path,
            config,
            seed,
            settings,
            operator_address,
            fleet,
            clock,
            shutdown_times,
            error_delay,
        })
    }

    pub(super) fn upstream_bounds(&self) -> Result<Bounds, Failure> {
        let (limits, guarantees) = (&self.settings.limits, &self.settings.guarantees);
        Ok(Bounds {
            dial_timeout: self.config.seconds("limits.dial-timeout-s", limits.connect_timeout)?,
            idle_timeout: self.config.idle_close()?,
            grace: self.config.seconds("guarantees.drain-grace-s", guarantees.drain_grace)?,
        })
    }

    pub(super) fn bind_operator(&self) -> Result<Option<BoundOperator>, Failure> {
        let Some(address) = self.operator_address else { return Ok(None) };
        Ok(Some(BoundOperator { address, listener: Operator::bind(address)? }))
    }
}

/// The operators' address and its listener; `None` if another process still holds it, to be bound later.
pub(super) struct BoundOperator {
    pub(super) address: SocketAddr,
    pub(super) listener: Option<TcpListener>,
}
