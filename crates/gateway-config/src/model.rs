//! Items as the programs use them, and what each may say by itself.

use crate::item::{ConfigError, Item, ItemKind};
use crate::json::{parse, Json};

/// Longest `TimeoutS`, in seconds.
const LONGEST_TIMEOUT_S: f64 = 600.0;

/// A route. Times are milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it answers for, in lower case.
    pub host: String,
    /// How the paths begin that it takes.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub idempotent: bool,
    /// How long the operator wants a request held at most.
    pub timeout: f64,
    /// Within what an answer earns its full worth.
    pub latency_target: f64,
    /// Its rank; 0 is highest.
    pub priority: u32,
    /// Most backends that one try may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Services with their weights; one at least, and the sum is above nought.
    pub destinations: Vec<(String, f64)>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rank, before that of the route; 0 is highest.
    pub priority: u32,
    /// Requests a second; nought is no limit.
    pub rate: f64,
    /// Requests on top.
    pub burst: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that a backend takes from all callers.
    pub conn_limit: u32,
}

/// What a client may send and how long it may take. Times are milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a head.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for a head.
    pub header_timeout: f64,
    /// Time between requests.
    pub idle_timeout: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            header_timeout: 3000.0,
            idle_timeout: 15_000.0,
        }
    }
}

/// The fields of an item, as they are asked for.
struct Fields<'a> {
    kind: ItemKind,
    item: &'a Item,
    values: Vec<(&'a str, Json)>,
}

impl<'a> Fields<'a> {
    fn of(item: &'a Item) -> Result<Fields<'a>, ConfigError> {
        let (kind, mut values) = (item.kind(), Vec::new());
        for field in &item.fields {
            let value = parse(field.json.as_bytes()).map_err(|why| {
                ConfigError::InvalidField(kind, item.name.clone(), item.version, "value", why)
            })?;
            values.push((field.name.as_str(), value));
        }
        Ok(Fields { kind, item, values })
    }

    fn get(&self, name: &str) -> Option<&Json> {
        self.values
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }

    fn wrong(&self, field: &'static str, why: &str) -> ConfigError {
        ConfigError::InvalidField(
            self.kind,
            self.item.name.clone(),
            self.item.version,
            field,
            why.to_owned(),
        )
    }

    fn text(&self, field: &'static str) -> Result<String, ConfigError> {
        let text = self
            .get(field)
            .and_then(Json::as_string)
            .map(|text| text.as_str().to_owned());
        text.filter(|text| !text.is_empty())
            .ok_or_else(|| self.wrong(field, "no text"))
    }

    /// A figure of nought at least; `None` where it is left out.
    fn figure(&self, field: &'static str) -> Result<Option<f64>, ConfigError> {
        let Some(value) = self.get(field) else {
            return Ok(None);
        };
        let figure = value.as_number().map(|number| number.to_f64_lossy());
        let figure = figure.filter(|x| x.is_finite() && *x >= 0.0);
        figure
            .map(Some)
            .ok_or_else(|| self.wrong(field, "no figure of nought at least"))
    }

    fn whole(&self, field: &'static str) -> Result<Option<u32>, ConfigError> {
        let figure = self.figure(field)?;
        let whole = |x: f64| x.fract() == 0.0 && x <= f64::from(u32::MAX);
        match figure {
            Some(x) if !whole(x) => Err(self.wrong(field, "no whole number")),
            figure => Ok(figure.map(|x| x as u32)),
        }
    }

    fn truth(&self, field: &'static str) -> Result<bool, ConfigError> {
        match self.get(field) {
            None => Ok(false),
            Some(value) => value
                .as_bool()
                .ok_or_else(|| self.wrong(field, "neither true nor false")),
        }
    }
}

/// Whether an item can be used, by itself.
pub fn check(item: &Item) -> Result<(), ConfigError> {
    if item.dropped {
        return Ok(());
    }
    match item.kind() {
        ItemKind::Route => Route::of(item).map(|_| ()),
        ItemKind::Tenant => Tenant::of(item).map(|_| ()),
        ItemKind::Service => Service::of(item).map(|_| ()),
        ItemKind::Limits => Limits::of(item).map(|_| ()),
    }
}

impl Route {
    /// Reads a route.
    pub fn of(item: &Item) -> Result<Route, ConfigError> {
        let fields = Fields::of(item)?;
        let prefix = fields.text("PathPrefix")?;
        if !prefix.starts_with('/') {
            return Err(fields.wrong("PathPrefix", "does not begin with a slash"));
        }
        let safe = match fields.text("RouteKind")?.as_str() {
            "safe" => true,
            "nonidempotent" => false,
            other => return Err(fields.wrong("RouteKind", &format!("unknown kind {other}"))),
        };
        let timeout = fields.figure("TimeoutS")?.filter(|s| *s > 0.0);
        let timeout = timeout.ok_or_else(|| fields.wrong("TimeoutS", "none"))?;
        if timeout > LONGEST_TIMEOUT_S {
            return Err(fields.wrong("TimeoutS", "over ten minutes"));
        }
        let attempts = fields.whole("MaxAttempts")?.unwrap_or(1);
        if attempts == 0 {
            return Err(fields.wrong("MaxAttempts", "nought"));
        }
        let to = match fields.get("TrafficSplit") {
            Some(split) => shares(&fields, split)?,
            None => vec![(fields.text("Service")?, 1.0)],
        };
        Ok(Route {
            name: item.name.clone(),
            host: fields.text("Host")?.to_ascii_lowercase(),
            prefix,
            idempotent: safe,
            timeout: timeout * 1000.0,
            latency_target: fields
                .figure("SetpointS")?
                .filter(|s| *s > 0.0)
                .unwrap_or(timeout)
                * 1000.0,
            priority: fields.whole("Priority")?.unwrap_or(0),
            max_attempts: attempts,
            public: fields.truth("Public")?,
            destinations: to,
        })
    }
}

/// The services of a split with their weights.
fn shares(fields: &Fields<'_>, split: &Json) -> Result<Vec<(String, f64)>, ConfigError> {
    let field = "TrafficSplit";
    if fields.get("Service").is_some() {
        return Err(fields.wrong(field, "stands beside Service"));
    }
    let mut shares = Vec::new();
    for share in split
        .as_array()
        .ok_or_else(|| fields.wrong(field, "no list"))?
        .iter()
    {
        let share = share
            .as_object()
            .ok_or_else(|| fields.wrong(field, "no object"))?;
        let service = share
            .get("Service")
            .and_then(Json::as_string)
            .map(|text| text.as_str());
        let service = service.filter(|text| !text.is_empty());
        let service = service.ok_or_else(|| fields.wrong(field, "a share without a Service"))?;
        let weight = share
            .get("Weight")
            .and_then(Json::as_number)
            .map(|number| number.to_f64_lossy());
        let weight = weight.filter(|weight| weight.is_finite() && *weight >= 0.0);
        let weight =
            weight.ok_or_else(|| fields.wrong(field, "a Weight that is none or below nought"))?;
        shares.push((service.to_owned(), weight));
    }
    if shares.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
        return Err(fields.wrong(field, "no weight above nought"));
    }
    Ok(shares)
}

impl Tenant {
    /// Reads a tenant.
    pub fn of(item: &Item) -> Result<Tenant, ConfigError> {
        let fields = Fields::of(item)?;
        let mut keys = Vec::new();
        if let Some(list) = fields.get("ApiKeys") {
            for key in list
                .as_array()
                .ok_or_else(|| fields.wrong("ApiKeys", "no list"))?
                .iter()
            {
                let key = key
                    .as_string()
                    .map(|key| key.as_str())
                    .filter(|key| !key.is_empty());
                keys.push(
                    key.ok_or_else(|| fields.wrong("ApiKeys", "a key that is no text"))?
                        .to_owned(),
                );
            }
        }
        Ok(Tenant {
            name: item.name.clone(),
            keys,
            priority: fields.whole("Priority")?.unwrap_or(0),
            rate: fields.figure("RatePerS")?.unwrap_or(0.0),
            burst: fields.figure("BurstSize")?.unwrap_or(0.0),
        })
    }
}

impl Service {
    /// Reads a service.
    pub fn of(item: &Item) -> Result<Service, ConfigError> {
        let fields = Fields::of(item)?;
        let conn_limit = fields.whole("ConnLimit")?.unwrap_or(u32::MAX);
        Ok(Service {
            name: item.name.clone(),
            conn_limit,
        })
    }
}

impl Limits {
    /// Reads the limits.
    pub fn of(item: &Item) -> Result<Limits, ConfigError> {
        let (fields, usual) = (Fields::of(item)?, Limits::default());
        let bytes = |field, usual| Ok(fields.whole(field)?.map_or(usual, |bytes| bytes as usize));
        let time = |field, usual| Ok(fields.figure(field)?.map_or(usual, |s| s * 1000.0));
        Ok(Limits {
            header_bytes: bytes("HeaderBytes", usual.header_bytes)?,
            body_bytes: bytes("BodyBytes", usual.body_bytes)?,
            header_timeout: time("HeaderS", usual.header_timeout)?,
            idle_timeout: time("IdleS", usual.idle_timeout)?,
        })
    }
}
