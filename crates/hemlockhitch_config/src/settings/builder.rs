//! Builder for settings created in code, as in tests and demonstrations.

use std::net::{Ipv4Addr, SocketAddr};

use hemlockhitch_model::{DataCentreName, NodeName, RegionName};

use super::SettingsError;
use super::sections;
use super::types::{
    AdvertiseSettings, ControlSettings, LimitSettings, ListenSettings, LogSettings, NodeSettings,
    OperatorToken, PlatformSettings, Settings,
};

/// Builder for [`Settings`]; fields that are not set keep their defaults.
///
/// ```
/// use hemlockhitch_config::settings::Settings;
///
/// let settings = Settings::builder()
///     .node("em-a-1", "em-a", "east-mids")
///     .key_value(([127, 0, 0, 1], 2379))
///     .build()?;
/// assert_eq!(settings.node.data_centre.as_str(), "em-a");
/// # Ok::<(), hemlockhitch_config::settings::SettingsError>(())
/// ```
#[derive(Clone, Debug)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    pub(super) fn new() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let settings = Settings {
            node: NodeSettings {
                name: NodeName::new("node-1"),
                data_centre: DataCentreName::new("data-centre-1"),
                region: RegionName::new("region-1"),
            },
            listen: ListenSettings {
                callers: any,
                operators: any,
                peers: any,
                metrics: any,
            },
            advertise: AdvertiseSettings::default(),
            platform: PlatformSettings {
                key_value: any,
                vm_list: None,
                rating: None,
                weights: None,
            },
            operators: Vec::new(),
            limits: LimitSettings::default(),
            control: ControlSettings::default(),
            log: LogSettings::default(),
        };
        Self { settings }
    }

    /// Sets the name, data centre and region of the node.
    #[must_use]
    pub fn node(
        mut self,
        name: impl Into<NodeName>,
        data_centre: impl Into<DataCentreName>,
        region: impl Into<RegionName>,
    ) -> Self {
        self.settings.node = NodeSettings {
            name: name.into(),
            data_centre: data_centre.into(),
            region: region.into(),
        };
        self
    }

    /// Sets the listen address for callers.
    #[must_use]
    pub fn listen_callers(mut self, address: impl Into<SocketAddr>) -> Self {
        self.settings.listen.callers = address.into();
        self
    }

    /// Sets the listen address of the administration API.
    #[must_use]
    pub fn listen_operators(mut self, address: impl Into<SocketAddr>) -> Self {
        self.settings.listen.operators = address.into();
        self
    }

    /// Sets the listen address for other nodes.
    #[must_use]
    pub fn listen_peers(mut self, address: impl Into<SocketAddr>) -> Self {
        self.settings.listen.peers = address.into();
        self
    }

    /// Sets the listen address of the metrics server.
    #[must_use]
    pub fn listen_metrics(mut self, address: impl Into<SocketAddr>) -> Self {
        self.settings.listen.metrics = address.into();
        self
    }

    /// Sets the address that is advertised to other nodes.
    #[must_use]
    pub fn advertise_peers(mut self, address: impl Into<SocketAddr>) -> Self {
        self.settings.advertise.peers = Some(address.into());
        self
    }

    /// Sets the address of the key-value service.
    #[must_use]
    pub fn key_value(mut self, address: impl Into<SocketAddr>) -> Self {
        self.settings.platform.key_value = address.into();
        self
    }

    /// Sets the address of the VM list service.
    #[must_use]
    pub fn vm_list(mut self, address: impl Into<SocketAddr>) -> Self {
        self.settings.platform.vm_list = Some(address.into());
        self
    }

    /// Sets the address of the rating service.
    #[must_use]
    pub fn rating(mut self, address: impl Into<SocketAddr>) -> Self {
        self.settings.platform.rating = Some(address.into());
        self
    }

    /// Sets the address of the weight store.
    #[must_use]
    pub fn weights(mut self, address: impl Into<SocketAddr>) -> Self {
        self.settings.platform.weights = Some(address.into());
        self
    }

    /// Adds an operator token.
    #[must_use]
    pub fn operator(mut self, token: OperatorToken) -> Self {
        self.settings.operators.push(token);
        self
    }

    /// Sets the request limits.
    #[must_use]
    pub fn limits(mut self, limits: LimitSettings) -> Self {
        self.settings.limits = limits;
        self
    }

    /// Sets the cluster control parameters.
    #[must_use]
    pub fn control(mut self, control: ControlSettings) -> Self {
        self.settings.control = control;
        self
    }

    /// Sets the logging options.
    #[must_use]
    pub fn log(mut self, log: LogSettings) -> Self {
        self.settings.log = log;
        self
    }

    /// Validates and returns the settings.
    ///
    /// # Errors
    ///
    /// Returns every setting that is out of bounds or conflicts with another one.
    pub fn build(self) -> Result<Settings, SettingsError> {
        let faults = sections::validate(&self.settings);
        if faults.is_empty() {
            return Ok(self.settings);
        }
        Err(SettingsError::new("settings", faults))
    }
}
