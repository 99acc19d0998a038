//! The routes, services, organisations and limits that are in effect.

mod route;

pub use route::{CallerLimits, ColdRateLimit, Organisation, Route, Service, WeightedService};

use std::collections::HashMap;
use std::sync::Arc;

use hemlockhitch_model::{Arena, OrganisationKey, RouteKey, ServiceKey, ServiceName};

/// One version of the configuration, indexed for lookups on the request path.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    version: u64,
    limits: CallerLimits,
    routes: Arena<RouteKey, Arc<Route>>,
    services: Arena<ServiceKey, Service>,
    organisations: Arena<OrganisationKey, Arc<Organisation>>,
    service_by_name: HashMap<ServiceName, ServiceKey>,
    organisation_by_api_key: HashMap<String, OrganisationKey>,
    routes_by_host: HashMap<String, Vec<RouteKey>>,
}

impl Catalogue {
    /// Creates an empty catalogue for a configuration version.
    #[must_use]
    pub fn new(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Sets the limits on callers' requests and connections.
    #[must_use]
    pub fn limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Adds a service; a later one of the same name replaces an earlier one in lookups.
    #[must_use]
    pub fn service(mut self, service: Service) -> Self {
        let name = service.name.clone();
        let key = self.services.push(service);
        self.service_by_name.insert(name, key);
        self
    }

    /// Adds an organisation and its API keys.
    #[must_use]
    pub fn organisation(
        mut self,
        organisation: Organisation,
        api_keys: impl IntoIterator<Item = String>,
    ) -> Self {
        let key = self.organisations.push(Arc::new(organisation));
        self.organisation_by_api_key
            .extend(api_keys.into_iter().map(|api_key| (api_key, key)));
        self
    }

    /// Adds routes and orders each host's routes by descending prefix length.
    #[must_use]
    pub fn routes(mut self, routes: impl IntoIterator<Item = Route>) -> Self {
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            let key = self.routes.push(Arc::new(route));
            self.routes_by_host.entry(host).or_default().push(key);
        }
        let routes = &self.routes;
        for host_routes in self.routes_by_host.values_mut() {
            host_routes.sort_by_key(|key| std::cmp::Reverse(routes[*key].prefix.len()));
        }
        self
    }

    /// Returns the configuration version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers' requests and connections.
    #[must_use]
    pub fn caller_limits(&self) -> CallerLimits {
        self.limits
    }

    /// Finds the route with the longest matching path prefix for a host. The host is
    /// compared without its port and case.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let host_routes = self.routes_by_host.get(&host.to_ascii_lowercase())?;
        let mut routes = host_routes.iter().map(|key| &self.routes[*key]);
        routes.find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Finds the organisation that owns an API key.
    #[must_use]
    pub fn find_organisation(&self, api_key: &str) -> Option<&Arc<Organisation>> {
        let key = self.organisation_by_api_key.get(api_key)?;
        Some(&self.organisations[*key])
    }

    /// Finds a service by name.
    #[must_use]
    pub fn find_service(&self, name: &ServiceName) -> Option<&Service> {
        let key = self.service_by_name.get(name)?;
        Some(&self.services[*key])
    }
}
