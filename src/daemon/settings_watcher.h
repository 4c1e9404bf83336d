// Reloads the settings file of a running daemon when it changes.
#pragma once

#include "daemon/settings.h"
#include "net/world_runner.h"

#include <functional>
#include <string>

namespace radishford {

// Parses the text of a settings file. Throws Error when it is invalid.
using SettingsParser = std::function<DaemonSettings(const std::string &)>;

// Reads the file on SIGHUP and at regular intervals. An invalid file is logged, and the active settings are kept.
class SettingsWatcher
{
public:
    SettingsWatcher(WorldRunner &worldRunner, std::string path, SettingsParser parser);

    // Starts to wait for signals and to poll the file.
    void start();

private:
    // Reads the file and applies it if its text has changed. The cause is logged.
    void reload(const char *cause);

    // Reloads on each SIGHUP.
    Task<> awaitSignals();

    // Reloads at regular intervals.
    Task<> pollFile();

    WorldRunner &worldRunner_;
    std::string path_;
    SettingsParser parser_;
    // Text of the active settings.
    std::string activeText_;
    asio::signal_set signals_;
};

} // namespace radishford
