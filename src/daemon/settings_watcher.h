// Reloads the settings file of a running daemon when it changes.
#pragma once

#include "daemon/file_watch.h"
#include "daemon/settings.h"
#include "net/world_runner.h"

#include <functional>
#include <string>

namespace radishford {

// Parses the text of a settings file. Throws Error when it is invalid.
using SettingsParser = std::function<DaemonSettings(const std::string &)>;

// Reads the file on SIGHUP, when it changes, and at regular intervals in case a change was not noticed. An invalid file is logged, and the active settings are
// kept.
class SettingsWatcher
{
public:
    // The text is that of the active settings.
    SettingsWatcher(WorldRunner &worldRunner, std::string path, std::string text, SettingsParser parser);

    // Reads the file again if it has changed since, and starts to wait for changes.
    void start();

private:
    // Reads the file and applies it if its text has changed. The cause is logged.
    void reload(const char *cause);

    // Reloads on each SIGHUP.
    Task<> awaitSignals();

    // Reloads when the file changes.
    Task<> awaitChanges();

    // Reloads at regular intervals.
    Task<> pollFile();

    WorldRunner &worldRunner_;
    std::string path_;
    SettingsParser parser_;
    // Text of the active settings.
    std::string activeText_;
    asio::signal_set signals_;
    FileWatch watch_;
};

} // namespace radishford
