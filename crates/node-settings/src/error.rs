//! Errors of settings files, displayed as `key=value` pairs for the log.

use std::path::PathBuf;

/// The reason why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("step=read file={} error={error:?}", .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The file is not TOML, or a field is missing or has the wrong type.
    #[error("step=parse file={} error={:?}", .path.display(), .error.to_string())]
    Parse {
        /// The file.
        path: PathBuf,
        /// The error of the parser.
        error: toml::de::Error,
    },
    /// A field has an invalid value.
    #[error("step=check file={} field={field} value={value:?}", .path.display())]
    InvalidField {
        /// The file.
        path: PathBuf,
        /// Name of the field in the file.
        field: &'static str,
        /// The value, or its invalid part.
        value: String,
    },
}
