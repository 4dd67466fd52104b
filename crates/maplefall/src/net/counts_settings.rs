//! The settings file of shared counts (`MAPLEFALL_SHARED_COUNTS`, TOML; example:
//! `deploy/shared-counts.toml`): how this gateway and its peers share customers' usage. Without the
//! file nothing is shared and no socket is opened.

use maplefall_policy::Millis;
use maplefall_shared_counts::Settings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The variable that names the settings file of shared counts.
pub const VARIABLE: &str = "MAPLEFALL_SHARED_COUNTS";
/// Maximum number of seeds, the peers to contact first.
const MAX_SEEDS: usize = 64;

/// The settings of shared counts.
#[derive(Clone, Debug, PartialEq)]
pub struct CountsSettings {
    /// Address on which datagrams are received.
    pub listen: SocketAddr,
    /// Address at which peers reach this gateway; the listen address by default.
    pub advertise: Option<SocketAddr>,
    /// Peers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The settings of the protocol.
    pub sharing: Settings,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CountsFile {
    cluster: String,
    gossip: String,
    advertise: Option<String>,
    seeds: Vec<String>,
    key: Option<String>,
    key_file: Option<PathBuf>,
    interval_ms: Option<Millis>,
    fan_out: Option<usize>,
    epoch_ms: Option<Millis>,
    epochs_kept: Option<u32>,
    datagram_bytes: Option<usize>,
    most_per_second: Option<f64>,
    most_members: Option<usize>,
    most_told: Option<usize>,
    most_counts: Option<usize>,
    suspect_phi: Option<f64>,
    gone_after_ms: Option<Millis>,
    forget_after_ms: Option<Millis>,
}

/// Reads the settings file that [`VARIABLE`] names; `None` if the variable is not set.
///
/// # Errors
/// All errors, one per line.
pub fn from_env() -> Result<Option<CountsSettings>, String> {
    let Some(path) = std::env::var_os(VARIABLE) else {
        return Ok(None);
    };
    read(Path::new(&path))
        .map(Some)
        .map_err(|found| found.join("\n"))
}

/// Reads a settings file.
///
/// # Errors
/// All errors, each with the file's name and the field.
pub fn read(path: &Path) -> Result<CountsSettings, Vec<String>> {
    let named = |text: String| format!("{}: {text}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| vec![named(error.to_string())])?;
    parse(&text, path.parent()).map_err(|found| found.into_iter().map(named).collect())
}

/// Returns whether a text is a settings file of shared counts.
pub fn is_counts_file(text: &str) -> bool {
    text.parse::<toml::Table>()
        .is_ok_and(|table| table.contains_key("gossip"))
}

fn parse(text: &str, directory: Option<&Path>) -> Result<CountsSettings, Vec<String>> {
    let file: CountsFile =
        toml::from_str(text).map_err(|error| vec![error.to_string().trim_end().to_owned()])?;
    let mut errors = Vec::new();
    let mut address = |field: &str, text: &str, connectable: bool| match text.parse::<SocketAddr>()
    {
        Ok(address) if !connectable || (address.port() != 0 && !address.ip().is_unspecified()) => {
            Some(address)
        }
        _ => {
            errors.push(format!(
                "{field}: an address with a port was expected, not {text:?}"
            ));
            None
        }
    };
    let listen = address("gossip", &file.gossip, false);
    let advertise = file
        .advertise
        .as_deref()
        .and_then(|text| address("advertise", text, true));
    let seeds: Vec<SocketAddr> = file
        .seeds
        .iter()
        .enumerate()
        .filter_map(|(at, text)| address(&format!("seeds.{at}"), text, true))
        .collect();
    if file.seeds.len() > MAX_SEEDS {
        errors.push(format!(
            "seeds: at most {MAX_SEEDS} addresses were expected"
        ));
    }
    if listen.is_some_and(|listen| listen.ip().is_unspecified()) && file.advertise.is_none() {
        errors.push(
            "advertise: an address was expected, because gossip is a wildcard address".to_owned(),
        );
    }
    let key = match (&file.key, &file.key_file) {
        (Some(key), None) => Ok(key.clone()),
        (None, Some(path)) => {
            let path = directory.map_or(path.clone(), |directory| directory.join(path));
            std::fs::read_to_string(&path)
                .map_err(|error| format!("key_file: {}: {error}", path.display()))
        }
        _ => Err("key: either key or key_file was expected".to_owned()),
    };
    let key = key.and_then(|text| {
        hexadecimal(text.trim()).ok_or("key: 32 to 128 hexadecimal digits were expected".to_owned())
    });
    let key = key.unwrap_or_else(|error| {
        errors.push(error);
        vec![0; 32]
    });
    let defaults = Settings::usual(&file.cluster, key);
    let sharing = Settings {
        interval: file.interval_ms.unwrap_or(defaults.interval),
        fan_out: file.fan_out.unwrap_or(defaults.fan_out),
        epoch: file.epoch_ms.unwrap_or(defaults.epoch),
        epochs_kept: file.epochs_kept.unwrap_or(defaults.epochs_kept),
        datagram_bytes: file.datagram_bytes.unwrap_or(defaults.datagram_bytes),
        max_datagrams_per_second: file
            .most_per_second
            .unwrap_or(defaults.max_datagrams_per_second),
        max_members: file.most_members.unwrap_or(defaults.max_members),
        max_tracked_customers: file.most_told.unwrap_or(defaults.max_tracked_customers),
        max_counts: file.most_counts.unwrap_or(defaults.max_counts),
        suspect_phi: file.suspect_phi.unwrap_or(defaults.suspect_phi),
        gone_after: file.gone_after_ms.unwrap_or(defaults.gone_after),
        forget_after: file.forget_after_ms.unwrap_or(defaults.forget_after),
        ..defaults
    };
    errors.extend(
        sharing
            .mistakes()
            .into_iter()
            .map(|wrong| format!("{}: {} was expected", wrong.field, wrong.expected)),
    );
    match (listen, errors.is_empty()) {
        (Some(listen), true) => Ok(CountsSettings {
            listen,
            advertise,
            seeds,
            sharing,
        }),
        _ => Err(errors),
    }
}

/// Parses 16 to 64 bytes in hexadecimal.
fn hexadecimal(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text
        .chars()
        .map(|digit| {
            digit
                .to_digit(16)
                .and_then(|digit| u8::try_from(digit).ok())
        })
        .collect();
    let digits =
        digits.filter(|digits| digits.len() % 2 == 0 && (32..=128).contains(&digits.len()))?;
    Some(
        digits
            .chunks(2)
            .map(|pair| pair[0] << 4 | pair[1])
            .collect(),
    )
}

#[cfg(test)]
mod tests;
