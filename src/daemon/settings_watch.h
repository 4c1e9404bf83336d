// Takes changes of the settings file into the running daemon.
#pragma once

#include "daemon/settings.h"
#include "net/engine.h"

#include <functional>
#include <string>

namespace radishford {

// Reads the settings of a file's text. Throws Error.
using SettingsParser = std::function<DaemonSettings(const std::string &)>;

// Reads the file on SIGHUP, and now and then without a signal. What cannot be read is logged, and the settings in force stay.
class SettingsWatch
{
public:
    SettingsWatch(Engine &engine, std::string path, SettingsParser parser);

    // Starts to watch.
    void start();

private:
    // Reads the file and takes what has changed.
    void reload(const char *cause);

    // Waits for signals.
    Task<> awaitSignals();

    // Looks at the file now and then.
    Task<> lookAtTimes();

    Engine &engine_;
    std::string path_;
    SettingsParser parser_;
    // Text of the settings in force.
    std::string text_;
    asio::signal_set signals_;
};

} // namespace radishford
