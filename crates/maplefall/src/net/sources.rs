//! The file of sources (`MAPLEFALL_SOURCES`, a TOML file; `deploy/sources.toml` is one): where the list of backends comes from,
//! in order of precedence. Without it the platform's agent is the only source.

use maplefall_etcd::client::ConnectionConfig;
use maplefall_membership::SourceSettings;
use maplefall_policy::Millis;
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// The variable that names the file.
pub const VARIABLE: &str = "MAPLEFALL_SOURCES";
/// Sources at most, and endpoints of one.
const MAX_SOURCES: usize = 8;
const MAX_ENDPOINTS: usize = 16;

/// One source.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    /// How its reports are merged with those of other sources.
    pub settings: SourceSettings,
    /// What it is.
    pub kind: Kind,
}

/// What a source is.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// The platform's agent, by `BALANCER_DISCOVERY`.
    Agent,
    /// A prefix of an etcd.
    Etcd {
        /// Its endpoints and credentials.
        place: ConnectionConfig,
        /// The prefix and the timeouts.
        follow: maplefall_etcd::Settings,
    },
    /// A file of nodes, read at the start and at SIGHUP.
    File(PathBuf),
}

/// The contents of a file of sources.
#[derive(Clone, Debug, PartialEq)]
pub struct Sources {
    /// The sources, the one with precedence first.
    pub list: Vec<Source>,
    /// Where the list of each source is persisted for a restart; nowhere by default.
    pub remember: Option<PathBuf>,
}

/// The sources without a file.
pub fn agent_only() -> Sources {
    let agent = Source {
        settings: SourceSettings::trusted("agent"),
        kind: Kind::Agent,
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
    // Of an etcd.
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
    // Of a file.
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

/// The sources that the variable's file names, or the agent alone.
///
/// # Errors
/// Every mistake, one to a line.
pub fn from_env() -> Result<Sources, String> {
    let Some(path) = std::env::var_os(VARIABLE) else {
        return Ok(agent_only());
    };
    read(Path::new(&path)).map_err(|found| found.join("\n"))
}

/// The sources that a file names.
///
/// # Errors
/// Every mistake, each with the file's name and the field's path.
pub fn read(path: &Path) -> Result<Sources, Vec<String>> {
    let named = |text: String| format!("{}: {text}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| vec![named(error.to_string())])?;
    parse(&text).map_err(|found| found.into_iter().map(named).collect())
}

/// The sources in a file's text. Files that it names are read too.
///
/// # Errors
/// Every mistake, each with the field's path.
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
            // Half of the list gone in one reading is rather a mistake than a wish.
            SourceKindName::Etcd => SourceSettings {
                believed_part: 0.5,
                doubt: 10_000.0,
                keep: 300_000.0,
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
            believed_part: entry.believed_part.unwrap_or(defaults.believed_part),
            doubt: entry.doubt_ms.unwrap_or(defaults.doubt),
            keep: entry.keep_ms.unwrap_or(defaults.keep),
        };
        if settings.name.is_empty()
            || list
                .iter()
                .any(|other| other.settings.name == settings.name)
        {
            report("name", "a name that no other source has was expected");
        }
        if !(0.0..=1.0).contains(&settings.believed_part) {
            report("believed_part", "a number from 0 to 1 was expected");
        }
        for (field, value) in [("doubt_ms", settings.doubt), ("keep_ms", settings.keep)] {
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
                if list.iter().any(|other| other.kind == Kind::Agent) {
                    report("kind", "one agent at most was expected");
                }
                Kind::Agent
            }
            SourceKindName::File => match &entry.path {
                Some(path) => Kind::File(path.clone()),
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

fn parse_etcd(at: usize, entry: &SourceEntry, report: &mut impl FnMut(&str, &str)) -> Kind {
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
    let file = |path: &Option<PathBuf>, field: &str, wrong: &mut dyn FnMut(&str, &str)| {
        let path = path.as_ref()?;
        match std::fs::read(path) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                wrong(field, &format!("{}: {error}", path.display()));
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
            "the shortest pause from 1 and the longest to 600000 were expected",
        );
    }
    Kind::Etcd {
        place: ConnectionConfig {
            endpoints: entry.endpoints.clone(),
            user,
            authority,
        },
        follow,
    }
}

#[cfg(test)]
mod tests;
