//! Which daemon is played: one that is named, or the one of this workspace, built on the spot where `cargo run` started
//! this program.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Why there is no daemon to play.
#[derive(Debug, thiserror::Error)]
pub enum NoDaemon {
    /// The named file is not there.
    #[error("{0}: no such file; --daemon names a built maplefall")]
    Missing(PathBuf),
    /// None was named and none stands beside this program.
    #[error(
        "no maplefall beside {0}; build it (cargo build --release -p maplefall) or name one with --daemon"
    )]
    Nowhere(PathBuf),
    /// It could not be built.
    #[error("cargo could not build the daemon: {0}")]
    Build(String),
}

/// The daemon to play.
///
/// # Errors
/// Why there is none.
pub fn daemon(named: Option<&Path>) -> Result<PathBuf, NoDaemon> {
    if let Some(path) = named {
        return if path.is_file() {
            Ok(path.to_owned())
        } else {
            Err(NoDaemon::Missing(path.to_owned()))
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
        Err(NoDaemon::Nowhere(own))
    }
}

/// A daemon that was built to be broken; built into a folder of its own, so that it never lies where the released one
/// does.
///
/// # Errors
/// Why there is none.
pub fn broken_daemon(named: Option<&Path>) -> Result<PathBuf, NoDaemon> {
    if let Some(path) = named {
        return daemon(Some(path));
    }
    let root = workspace().ok_or_else(|| {
        NoDaemon::Build(
            "broken daemons are built from the sources: use cargo run, or --broken".into(),
        )
    })?;
    let target = root.join("target").join("broken");
    let folder = target.to_string_lossy().into_owned();
    build(
        &root,
        &[
            "-p",
            "maplefall",
            "--features",
            "breakages",
            "--target-dir",
            &folder,
        ],
    )?;
    Ok(target.join("release").join("maplefall"))
}

/// The workspace, where `cargo run` started this program in one.
fn workspace() -> Option<PathBuf> {
    std::env::var_os("CARGO")?;
    let package = PathBuf::from(std::env::var_os("CARGO_MANIFEST_DIR")?);
    let root = package.parent()?.parent()?.to_owned();
    root.join("Cargo.lock").is_file().then_some(root)
}

fn build(root: &Path, what: &[&str]) -> Result<(), NoDaemon> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .current_dir(root)
        .args(["build", "--release", "--locked", "--quiet"])
        .args(what);
    eprintln!("building the daemon ...");
    let ended = command
        .status()
        .map_err(|error| NoDaemon::Build(error.to_string()))?;
    if ended.success() {
        Ok(())
    } else {
        Err(NoDaemon::Build(ended.to_string()))
    }
}
