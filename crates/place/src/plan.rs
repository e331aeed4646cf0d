//! Assignment of models to engines.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tsw_base::name;
use tsw_config::{bundle, service};
use tsw_member::rendezvous;

/// An engine in the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Its name.
    pub upstream: name::Upstream,
    /// Its failure domain.
    pub domain: name::Domain,
    /// The service that it belongs to.
    pub service: name::Service,
    /// Whether the host list marks it as leaving.
    pub leaving: bool,
}

/// Role of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Serves requests for its loaded models.
    Serve,
}

/// Complete desired state of one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing token: the revision of the bundle from which the order was computed.
    pub fence: u64,
    /// All models that the engine must have loaded; it unloads any others.
    pub models: Vec<name::Model>,
    /// Role that the engine must take.
    pub role: Role,
}

/// Returns the order for each engine of a model service, except for engines that are leaving.
///
/// The result depends only on the bundle and the set of engines, not on the sequence in which the
/// engines are listed. Replicas of a model are assigned one by one to the engine with the fewest
/// models so far; ties are broken by the failure domain with the fewest replicas of the model, then
/// by rendezvous hashing. A model without a number of replicas is assigned to all engines.
///
/// ```
/// use tsw_config::bundle;
/// use tsw_place::plan;
///
/// let bundle = bundle::Bundle::parse(br#"{"revision":3,"teams":{},"services":{"reviews":{
///     "service":"reviews","kind":"model","repeatable":true,"slots":4,
///     "models":[{"model":"large-v2"}]}}}"#)?;
/// let engine = plan::Engine {
///     upstream: "engine-1".parse().unwrap(),
///     domain: "north".parse().unwrap(),
///     service: "reviews".parse().unwrap(),
///     leaving: false,
/// };
/// let orders = plan::orders(&bundle, &[engine]);
/// assert_eq!(orders["engine-1"].fence, 3);
/// assert_eq!(orders["engine-1"].models[0].as_str(), "large-v2");
/// # Ok::<(), bundle::Error>(())
/// ```
#[must_use]
pub fn orders(bundle: &bundle::Bundle, engines: &[Engine]) -> IndexMap<name::Upstream, Order> {
    let mut orders = IndexMap::new();
    for service in bundle.services.values() {
        if service.kind != service::Kind::Model {
            continue;
        }
        let mut members: Vec<&Engine> = engines
            .iter()
            .filter(|engine| engine.service == service.service && !engine.leaving)
            .collect();
        members.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        members.dedup_by(|a, b| a.upstream == b.upstream);
        for engine in &members {
            let order = Order {
                fence: bundle.revision,
                models: Vec::new(),
                role: Role::Serve,
            };
            orders.insert(engine.upstream.clone(), order);
        }
        for model in &service.models {
            assign(model, &members, &mut orders);
        }
    }
    orders
}

/// Adds a model to the orders of the engines selected for it.
fn assign(
    model: &service::Model,
    members: &[&Engine],
    orders: &mut IndexMap<name::Upstream, Order>,
) {
    let model_hash = rendezvous::weight(0, model.model.as_str());
    let replicas = model
        .replicas
        .map_or(members.len(), |count| count as usize)
        .min(members.len());
    let mut candidates = members.to_vec();
    let mut domains: IndexMap<&name::Domain, usize> = IndexMap::new();
    for _ in 0..replicas {
        let best = candidates.iter().enumerate().min_by_key(|(_, engine)| {
            let models = orders.get(&engine.upstream).map_or(0, |o| o.models.len());
            let replicas_in_domain = domains.get(&engine.domain).copied().unwrap_or(0);
            let weight = rendezvous::weight(model_hash, engine.upstream.as_str());
            (models, replicas_in_domain, std::cmp::Reverse(weight))
        });
        let Some((index, _)) = best else {
            break;
        };
        let engine = candidates.swap_remove(index);
        *domains.entry(&engine.domain).or_default() += 1;
        if let Some(order) = orders.get_mut(&engine.upstream) {
            order.models.push(model.model.clone());
        }
    }
}
