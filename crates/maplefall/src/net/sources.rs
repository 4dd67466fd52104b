//! The settings file of sources (`MAPLEFALL_SOURCES`, TOML; example: `deploy/sources.toml`): where
//! the list of backends comes from, in order of precedence. Without the file the platform's agent
//! is the only source.

use maplefall_etcd::client::ConnectionConfig;
use maplefall_membership::SourceSettings;
use maplefall_policy::Millis;
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// The variable that names the settings file of sources.
pub const VARIABLE: &str = "MAPLEFALL_SOURCES";
/// Maximum number of sources.
const MAX_SOURCES: usize = 8;
/// Maximum number of endpoints of one source.
const MAX_ENDPOINTS: usize = 16;

/// A source of backends.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    /// How the source's reports are merged with those of other sources.
    pub settings: SourceSettings,
    /// The kind, with its parameters.
    pub kind: SourceKind,
}

/// The kind of a source.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceKind {
    /// The platform's agent, at `BALANCER_DISCOVERY`.
    Agent,
    /// The keys under a prefix of an etcd.
    Etcd {
        /// Endpoints and credentials.
        access: ConnectionConfig,
        /// Prefix and timeouts.
        follow: maplefall_etcd::Settings,
    },
    /// A node file, read at the start and at SIGHUP.
    File(PathBuf),
}

/// The contents of a settings file of sources.
#[derive(Clone, Debug, PartialEq)]
pub struct Sources {
    /// The sources, in order of precedence.
    pub list: Vec<Source>,
    /// The file where the list of each source is persisted for a restart; `None` by default.
    pub remember: Option<PathBuf>,
}

/// Returns the sources for a process without a settings file.
pub fn agent_only() -> Sources {
    let agent = Source {
        settings: SourceSettings::trusted("agent"),
        kind: SourceKind::Agent,
    };
    Sources {
        list: vec![agent],
        remember: None,
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SourcesFile {
    remember: Option<PathBuf>,
    #[serde(default)]
    source: Vec<SourceEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SourceEntry {
    kind: SourceKindName,
    name: Option<String>,
    #[serde(default = "default_authoritative")]
    authoritative: bool,
    believed_part: Option<f64>,
    doubt_ms: Option<Millis>,
    keep_ms: Option<Millis>,
    // Fields of an etcd.
    #[serde(default)]
    endpoints: Vec<String>,
    prefix: Option<String>,
    user: Option<String>,
    password_file: Option<PathBuf>,
    authority_file: Option<PathBuf>,
    page: Option<i64>,
    silence_ms: Option<Millis>,
    answer_ms: Option<Millis>,
    retry_ms: Option<[Millis; 2]>,
    // Fields of a node file.
    path: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum SourceKindName {
    Agent,
    Etcd,
    File,
}

fn default_authoritative() -> bool {
    true
}

/// Reads the sources from the file that the variable names, or returns the agent alone.
///
/// # Errors
/// All errors, one per line.
pub fn from_env() -> Result<Sources, String> {
    let Some(path) = std::env::var_os(VARIABLE) else {
        return Ok(agent_only());
    };
    read(Path::new(&path)).map_err(|found| found.join("\n"))
}

/// Reads the sources from a file.
///
/// # Errors
/// All errors, each with the file's name and the field's path.
pub fn read(path: &Path) -> Result<Sources, Vec<String>> {
    let named = |text: String| format!("{}: {text}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| vec![named(error.to_string())])?;
    parse(&text).map_err(|found| found.into_iter().map(named).collect())
}

/// Parses the sources in a file's text. Files named in the text are read too.
///
/// # Errors
/// All errors, each with the field's path.
fn parse(text: &str) -> Result<Sources, Vec<String>> {
    let file: SourcesFile =
        toml::from_str(text).map_err(|error| vec![error.to_string().trim_end().to_owned()])?;
    let mut errors = Vec::new();
    if file.source.is_empty() || file.source.len() > MAX_SOURCES {
        errors.push(format!("source: 1 to {MAX_SOURCES} tables were expected"));
    }
    let mut list: Vec<Source> = Vec::new();
    for (at, entry) in file.source.iter().enumerate() {
        let mut report =
            |field: &str, expected: &str| errors.push(format!("source.{at}.{field}: {expected}"));
        let defaults = match entry.kind {
            SourceKindName::Agent => SourceSettings::trusted("agent"),
            // If half of the list disappears in one read, that is more likely a mistake than
            // intended.
            SourceKindName::Etcd => SourceSettings {
                max_missing_fraction: 0.5,
                suspicion_timeout: 10_000.0,
                expiry_timeout: 300_000.0,
                ..SourceSettings::trusted("etcd")
            },
            SourceKindName::File => SourceSettings {
                authoritative: false,
                ..SourceSettings::trusted("file")
            },
        };
        let settings = SourceSettings {
            name: entry.name.clone().unwrap_or(defaults.name),
            authoritative: entry.authoritative && entry.kind != SourceKindName::File,
            max_missing_fraction: entry.believed_part.unwrap_or(defaults.max_missing_fraction),
            suspicion_timeout: entry.doubt_ms.unwrap_or(defaults.suspicion_timeout),
            expiry_timeout: entry.keep_ms.unwrap_or(defaults.expiry_timeout),
        };
        if settings.name.is_empty()
            || list
                .iter()
                .any(|other| other.settings.name == settings.name)
        {
            report("name", "a name that no other source has was expected");
        }
        if !(0.0..=1.0).contains(&settings.max_missing_fraction) {
            report("believed_part", "a number from 0 to 1 was expected");
        }
        for (field, value) in [
            ("doubt_ms", settings.suspicion_timeout),
            ("keep_ms", settings.expiry_timeout),
        ] {
            if value.is_nan() || value < 0.0 {
                report(field, "a number of 0 or more was expected");
            }
        }
        let etcd_fields = [
            ("endpoints", !entry.endpoints.is_empty()),
            ("prefix", entry.prefix.is_some()),
            ("user", entry.user.is_some()),
            ("password_file", entry.password_file.is_some()),
            ("authority_file", entry.authority_file.is_some()),
            ("page", entry.page.is_some()),
            ("silence_ms", entry.silence_ms.is_some()),
            ("answer_ms", entry.answer_ms.is_some()),
            ("retry_ms", entry.retry_ms.is_some()),
        ];
        for (field, _) in etcd_fields
            .iter()
            .filter(|(_, present)| *present && entry.kind != SourceKindName::Etcd)
        {
            report(field, "this belongs to sources of kind etcd");
        }
        if entry.path.is_some() && entry.kind != SourceKindName::File {
            report("path", "this belongs to sources of kind file");
        }
        let kind = match entry.kind {
            SourceKindName::Agent => {
                if list.iter().any(|other| other.kind == SourceKind::Agent) {
                    report("kind", "one agent at most was expected");
                }
                SourceKind::Agent
            }
            SourceKindName::File => match &entry.path {
                Some(path) => SourceKind::File(path.clone()),
                None => {
                    report("path", "the path of a file of nodes was expected");
                    continue;
                }
            },
            SourceKindName::Etcd => parse_etcd(at, entry, &mut report),
        };
        list.push(Source { settings, kind });
    }
    match errors.is_empty() {
        true => Ok(Sources {
            list,
            remember: file.remember,
        }),
        false => Err(errors),
    }
}

fn parse_etcd(at: usize, entry: &SourceEntry, report: &mut impl FnMut(&str, &str)) -> SourceKind {
    let prefix = entry.prefix.clone().unwrap_or_default();
    if prefix.is_empty() {
        report(
            "prefix",
            "the prefix of the keys was expected, as in /maplefall",
        );
    }
    if !(1..=MAX_ENDPOINTS).contains(&entry.endpoints.len()) {
        report(
            "endpoints",
            &format!("a list of 1 to {MAX_ENDPOINTS} of http://HOST:PORT was expected"),
        );
    }
    for endpoint in &entry.endpoints {
        let scheme = endpoint
            .split_once("://")
            .map(|(scheme, rest)| (scheme, !rest.is_empty()));
        match scheme {
            Some(("http", true)) => {}
            Some(("https", true)) if cfg!(feature = "tls") => {}
            Some(("https", true)) => {
                report("endpoints", "https needs a build with the feature tls")
            }
            _ => report(
                "endpoints",
                &format!("http://HOST:PORT was expected, not {endpoint:?}"),
            ),
        }
    }
    let file = |path: &Option<PathBuf>, field: &str, report: &mut dyn FnMut(&str, &str)| {
        let path = path.as_ref()?;
        match std::fs::read(path) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                report(field, &format!("{}: {error}", path.display()));
                None
            }
        }
    };
    let password = file(&entry.password_file, "password_file", report);
    let authority = file(&entry.authority_file, "authority_file", report);
    if entry.user.is_some() != entry.password_file.is_some() {
        report("user", "user and password_file were expected together");
    }
    let user = entry.user.clone().zip(password).map(|(user, password)| {
        (
            user,
            String::from_utf8_lossy(&password)
                .trim_end_matches(['\r', '\n'])
                .to_owned(),
        )
    });
    let defaults = maplefall_etcd::Settings::with_defaults(at, entry.endpoints.len(), &prefix);
    let follow = maplefall_etcd::Settings {
        page_size: entry.page.unwrap_or(defaults.page_size),
        watch_timeout: entry.silence_ms.unwrap_or(defaults.watch_timeout),
        call_timeout: entry.answer_ms.unwrap_or(defaults.call_timeout),
        backoff: entry.retry_ms.unwrap_or(defaults.backoff),
        ..defaults
    };
    if !(1..=10_000).contains(&follow.page_size) {
        report("page", "a whole number from 1 to 10000 was expected");
    }
    for (field, value) in [
        ("silence_ms", follow.watch_timeout),
        ("answer_ms", follow.call_timeout),
    ] {
        if !(100.0..=600_000.0).contains(&value) {
            report(field, "a number from 100 to 600000 was expected");
        }
    }
    let [min, max] = follow.backoff;
    if !(min >= 1.0 && min <= max && max <= 600_000.0) {
        report(
            "retry_ms",
            "a minimum of 1 or more and a maximum of up to 600000 were expected",
        );
    }
    SourceKind::Etcd {
        access: ConnectionConfig {
            endpoints: entry.endpoints.clone(),
            user,
            authority,
        },
        follow,
    }
}

#[cfg(test)]
mod tests;
