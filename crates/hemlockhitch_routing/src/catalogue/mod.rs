//! The routes, services, organisations and limits in force.

mod route;

pub use route::{CallerLimits, ColdPace, Organisation, Route, Service, Split};

use std::collections::HashMap;
use std::sync::Arc;

use hemlockhitch_model::{Arena, OrganisationKey, RouteKey, ServiceKey, ServiceName};

/// One version of the configuration, indexed for the request path.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    version: u64,
    limits: CallerLimits,
    routes: Arena<RouteKey, Arc<Route>>,
    services: Arena<ServiceKey, Service>,
    organisations: Arena<OrganisationKey, Arc<Organisation>>,
    service_by_name: HashMap<ServiceName, ServiceKey>,
    by_api_key: HashMap<String, OrganisationKey>,
    by_host: HashMap<String, Vec<RouteKey>>,
}

impl Catalogue {
    /// Creates an empty catalogue of a version.
    #[must_use]
    pub fn new(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Sets the limits of callers' requests.
    #[must_use]
    pub fn limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn service(mut self, service: Service) -> Self {
        let name = service.name.clone();
        let key = self.services.push(service);
        self.service_by_name.insert(name, key);
        self
    }

    /// Adds an organisation with its API keys.
    #[must_use]
    pub fn organisation(
        mut self,
        organisation: Organisation,
        api_keys: impl IntoIterator<Item = String>,
    ) -> Self {
        let key = self.organisations.push(Arc::new(organisation));
        self.by_api_key
            .extend(api_keys.into_iter().map(|api_key| (api_key, key)));
        self
    }

    /// Adds routes.
    #[must_use]
    pub fn routes(mut self, routes: impl IntoIterator<Item = Route>) -> Self {
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            let key = self.routes.push(Arc::new(route));
            self.by_host.entry(host).or_default().push(key);
        }
        let routes = &self.routes;
        for of_host in self.by_host.values_mut() {
            of_host.sort_by_key(|key| std::cmp::Reverse(routes[*key].prefix.len()));
        }
        self
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits of callers' requests.
    #[must_use]
    pub fn caller_limits(&self) -> CallerLimits {
        self.limits
    }

    /// Finds the route of a host, with or without a port, whose prefix is the
    /// longest that begins the path.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let of_host = self.by_host.get(&host.to_ascii_lowercase())?;
        let mut routes = of_host.iter().map(|key| &self.routes[*key]);
        routes.find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Finds the organisation that holds an API key.
    #[must_use]
    pub fn find_organisation(&self, api_key: &str) -> Option<&Arc<Organisation>> {
        let key = self.by_api_key.get(api_key)?;
        Some(&self.organisations[*key])
    }

    /// Finds a service.
    #[must_use]
    pub fn find_service(&self, name: &ServiceName) -> Option<&Service> {
        let key = self.service_by_name.get(name)?;
        Some(&self.services[*key])
    }
}
