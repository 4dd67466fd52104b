//! Reload of the settings file, on a SIGHUP or when the file has changed.

use super::controller::Controller;
use maplefall_node_settings::{Settings, SettingsFile};
use std::rc::Rc;

/// Number of ticks between two checks of the settings file for changes.
const CHECK_INTERVAL_TICKS: u32 = 20;

/// Why the settings are reloaded.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReloadTrigger {
    Signal,
    FileChanged,
}

/// The settings file of a running controller.
pub(super) struct SettingsReload {
    file: SettingsFile,
    ticks: u32,
}

impl SettingsReload {
    pub(super) fn new(file: SettingsFile) -> SettingsReload {
        SettingsReload { file, ticks: 0 }
    }

    /// Reloads the file if it has changed; called every tick.
    pub(super) fn tick(&mut self, controller: &Rc<Controller>) {
        self.ticks += 1;
        if self.ticks.is_multiple_of(CHECK_INTERVAL_TICKS) && self.file.changed() {
            self.reload(controller, ReloadTrigger::FileChanged);
        }
    }

    /// Reloads the file; an invalid file changes nothing.
    pub(super) fn reload(&self, controller: &Rc<Controller>, trigger: ReloadTrigger) {
        let signal = trigger == ReloadTrigger::Signal;
        match Settings::load(self.file.path()) {
            Ok(settings) => {
                log::info!("event=reload node={} signal={signal}", settings.node);
                controller.reload(&settings);
            }
            Err(error) => log::warn!("event=reload signal={signal} {error}"),
        }
    }
}
