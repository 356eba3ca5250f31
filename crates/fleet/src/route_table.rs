//! Lookup of the route of a request.

use std::collections::HashMap;
use std::sync::Arc;

use crate::configuration::Route;

/// Index of routes by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Routes of each host, those with longer prefixes first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Returns the index of the given routes.
    pub fn new(routes: &[Arc<Route>]) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(route.clone());
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the route on this host with the longest prefix of the target's path. A port in
    /// `host`, its case, and the query and fragment of `target` are ignored.
    pub fn find(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let path = target.split(['?', '#']).next().unwrap_or(target);
        self.by_host
            .get(&name)?
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
