use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    ClientAccountId, ConfigError, FailureDomainId, Model, ModelId, RawDeclaration, RegionId,
    Service, ServiceId, parse_json,
};

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Region of the failure domain.
    pub region: RegionId,
    /// False while operators have taken it out of service.
    pub in_service: bool,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Weight of the account among queued requests.
    pub share: u32,
}

/// The operators' configuration with every value checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Declaration {
    /// Region of the origin of weights.
    pub origin_region: RegionId,
    /// Failure domains by name.
    pub failure_domains: BTreeMap<FailureDomainId, FailureDomain>,
    /// Client accounts by name.
    pub client_accounts: BTreeMap<ClientAccountId, ClientAccount>,
    /// Models by name.
    pub models: BTreeMap<ModelId, Model>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
}

impl Declaration {
    /// Parses and checks a JSON text; errors name `file`.
    pub fn parse(file: &str, json: &str) -> Result<Self, ConfigError> {
        let raw: RawDeclaration = parse_json(file, json)?;
        Declaration::try_from(raw).map_err(|e| e.in_file(file))
    }

    /// Whether new work may go to a failure domain; false if it is unknown.
    pub fn in_service(&self, failure_domain: &str) -> bool {
        self.failure_domains
            .get(failure_domain)
            .is_some_and(|d| d.in_service)
    }

    /// The model that the engines of a service serve; `None` for a plain or unknown
    /// service.
    pub fn model_of(&self, service: &str) -> Option<(&ModelId, &Model)> {
        let id = self.services.get(service)?.model.as_ref()?;
        self.models.get_key_value(id)
    }

    fn check(&self) -> Result<(), ConfigError> {
        if !self
            .failure_domains
            .values()
            .any(|d| d.region == self.origin_region)
        {
            let problem = format!(
                "is {:?}, but no failure domain is in that region",
                self.origin_region
            );
            let remedy = "name a region of failure_domains";
            return Err(ConfigError::new("origin_region", problem, remedy));
        }
        for (id, account) in &self.client_accounts {
            if account.share == 0 {
                let path = format!("client_accounts.{id}.share");
                return Err(ConfigError::new(path, "is 0", "give at least 1"));
            }
        }
        for (id, model) in &self.models {
            if model.size == 0 {
                let path = format!("models.{id}.size");
                return Err(ConfigError::new(path, "is 0", "give the size in bytes"));
            }
        }
        self.check_references()?;
        self.check_cycles()
    }

    fn check_references(&self) -> Result<(), ConfigError> {
        for (id, service) in &self.services {
            if let Some(model) = service
                .model
                .as_ref()
                .filter(|m| !self.models.contains_key(*m))
            {
                let path = format!("services.{id}.model");
                let problem = format!("names the unknown model {model:?}");
                return Err(ConfigError::new(path, problem, "add it to models"));
            }
            for dependency in &service.depends_on {
                if !self.services.contains_key(dependency) {
                    let path = format!("services.{id}.depends_on");
                    let problem = format!("names the unknown service {dependency:?}");
                    return Err(ConfigError::new(path, problem, "add it to services"));
                }
            }
        }
        Ok(())
    }

    fn check_cycles(&self) -> Result<(), ConfigError> {
        let mut resolved: BTreeSet<&ServiceId> = BTreeSet::new();
        while resolved.len() < self.services.len() {
            let ready = self.services.iter().find(|(id, s)| {
                !resolved.contains(id) && s.depends_on.iter().all(|d| resolved.contains(d))
            });
            match ready {
                Some((id, _)) => resolved.insert(id),
                None => {
                    let unresolved: Vec<_> = self
                        .services
                        .keys()
                        .filter(|id| !resolved.contains(id))
                        .collect();
                    let problem =
                        format!("services depend on each other in a circle: {unresolved:?}");
                    let remedy = "remove one of the dependencies";
                    return Err(ConfigError::new("services", problem, remedy));
                }
            };
        }
        Ok(())
    }
}

impl TryFrom<RawDeclaration> for Declaration {
    type Error = ConfigError;

    fn try_from(raw: RawDeclaration) -> Result<Self, ConfigError> {
        let services = raw
            .services
            .into_iter()
            .map(|(id, service)| {
                let service = Service::try_from(service).map_err(|mut e| {
                    e.path = format!("services.{id}.{}", e.path);
                    e
                })?;
                Ok((id, service))
            })
            .collect::<Result<_, ConfigError>>()?;
        let declaration = Declaration {
            origin_region: raw.origin_region,
            failure_domains: raw.failure_domains,
            client_accounts: raw.client_accounts,
            models: raw.models,
            services,
        };
        declaration.check()?;
        Ok(declaration)
    }
}
