use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    ClientAccountId, ConfigError, FailureDomainId, Model, ModelId, RawDeclaration, RegionId,
    Service, ServiceId, parse_json,
};

/// A failure domain and whether operators have it in service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Region that holds the failure domain.
    pub region: RegionId,
    /// False while operators have taken it out.
    pub in_service: bool,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Weight of the account when requests have to wait.
    pub share: u32,
}

/// The operators' text with every value checked.
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
    /// Reads and checks a text; errors name `file`.
    pub fn parse(file: &str, json: &str) -> Result<Self, ConfigError> {
        let text: RawDeclaration = parse_json(file, json)?;
        Declaration::try_from(text).map_err(|e| e.in_file(file))
    }

    /// Whether new work may go to a failure domain; unknown ones get none.
    pub fn in_service(&self, failure_domain: &str) -> bool {
        self.failure_domains
            .get(failure_domain)
            .is_some_and(|d| d.in_service)
    }

    /// The model that a service's engines shall serve.
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
                "is {:?}, the region of no failure domain",
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
            if let Some(m) = service
                .model
                .as_ref()
                .filter(|m| !self.models.contains_key(*m))
            {
                let path = format!("services.{id}.model");
                let problem = format!("names the unknown model {m:?}");
                return Err(ConfigError::new(path, problem, "add it to models"));
            }
            for d in &service.depends_on {
                if !self.services.contains_key(d) {
                    let path = format!("services.{id}.depends_on");
                    let problem = format!("names the unknown service {d:?}");
                    return Err(ConfigError::new(path, problem, "add it to services"));
                }
            }
        }
        Ok(())
    }

    fn check_cycles(&self) -> Result<(), ConfigError> {
        let mut done: BTreeSet<&ServiceId> = BTreeSet::new();
        while done.len() < self.services.len() {
            let ready = self.services.iter().find(|(id, s)| {
                !done.contains(id) && s.depends_on.iter().all(|d| done.contains(d))
            });
            match ready {
                Some((id, _)) => done.insert(id),
                None => {
                    let left: Vec<_> = self
                        .services
                        .keys()
                        .filter(|id| !done.contains(id))
                        .collect();
                    let problem = format!("services depend on each other in a circle: {left:?}");
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

    fn try_from(text: RawDeclaration) -> Result<Self, ConfigError> {
        let services = text
            .services
            .into_iter()
            .map(|(id, raw)| {
                let service = Service::try_from(raw).map_err(|mut e| {
                    e.path = format!("services.{id}.{}", e.path);
                    e
                })?;
                Ok((id, service))
            })
            .collect::<Result<_, ConfigError>>()?;
        let declaration = Declaration {
            origin_region: text.origin_region,
            failure_domains: text.failure_domains,
            client_accounts: text.client_accounts,
            models: text.models,
            services,
        };
        declaration.check()?;
        Ok(declaration)
    }
}
