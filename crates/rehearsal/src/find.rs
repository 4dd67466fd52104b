//! Finds the gateway program to run: a given path, or the one beside this program, which is built
//! first if `cargo run` started this program.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Reason why no gateway program was found.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The given file does not exist.
    #[error("{0}: no such file; --daemon names a built maplefall")]
    Missing(PathBuf),
    /// No path was given and none is beside this program.
    #[error(
        "no maplefall beside {0}; build it (cargo build --release -p maplefall) or name one with --daemon"
    )]
    NotFound(PathBuf),
    /// The build failed.
    #[error("cargo could not build the daemon: {0}")]
    Build(String),
}

/// Returns the path of the gateway program.
///
/// # Errors
/// Returns why there is none.
pub fn daemon(given: Option<&Path>) -> Result<PathBuf, DaemonError> {
    if let Some(path) = given {
        return if path.is_file() {
            Ok(path.to_owned())
        } else {
            Err(DaemonError::Missing(path.to_owned()))
        };
    }
    let own = std::env::current_exe().unwrap_or_default();
    let beside = own.with_file_name("maplefall");
    if let Some(root) = workspace() {
        build(&root, &["-p", "maplefall"])?;
    }
    if beside.is_file() {
        Ok(beside)
    } else {
        Err(DaemonError::NotFound(own))
    }
}

/// Returns the path of a program with the feature `breakages`. It is built in a separate target
/// directory, so that it never replaces the released one.
///
/// # Errors
/// Returns why there is none.
pub fn broken_daemon(given: Option<&Path>) -> Result<PathBuf, DaemonError> {
    if let Some(path) = given {
        return daemon(Some(path));
    }
    let root = workspace().ok_or_else(|| {
        DaemonError::Build(
            "broken daemons are built from the sources: use cargo run, or --broken".into(),
        )
    })?;
    let target = root.join("target").join("broken");
    let target_dir = target.to_string_lossy().into_owned();
    build(
        &root,
        &[
            "-p",
            "maplefall",
            "--features",
            "breakages",
            "--target-dir",
            &target_dir,
        ],
    )?;
    Ok(target.join("release").join("maplefall"))
}

/// Returns the workspace's root if `cargo run` started this program.
fn workspace() -> Option<PathBuf> {
    std::env::var_os("CARGO")?;
    let package = PathBuf::from(std::env::var_os("CARGO_MANIFEST_DIR")?);
    let root = package.parent()?.parent()?.to_owned();
    root.join("Cargo.lock").is_file().then_some(root)
}

fn build(root: &Path, arguments: &[&str]) -> Result<(), DaemonError> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .current_dir(root)
        .args(["build", "--release", "--locked", "--quiet"])
        .args(arguments);
    eprintln!("building the daemon ...");
    let status = command
        .status()
        .map_err(|error| DaemonError::Build(error.to_string()))?;
    if status.success() {
        Ok(())
    } else {
        Err(DaemonError::Build(status.to_string()))
    }
}
