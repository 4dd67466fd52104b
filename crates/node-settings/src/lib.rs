//! The settings file of a proxy or controller: read, validated and watched for changes.
//!
//! The platform writes one file in TOML for each process. **Invariant:** unknown fields are
//! ignored, so that a newer platform can start an older program; a known field with an invalid
//! value is an error that names the field, and is never replaced by a default.

mod bounds;
mod error;
mod schema;
mod settings;
mod settings_file;

pub use bounds::Bounds;
pub use error::SettingsError;
pub use schema::{Bind, Limits, Tolerance};
pub use settings::{Settings, DEFAULT_PATH, PATH_VARIABLE};
pub use settings_file::SettingsFile;
