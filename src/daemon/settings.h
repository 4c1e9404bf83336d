// Settings of a daemon, read from a JSON file.
#pragma once

#include "net/caller_server.h"
#include "net/exchange_server.h"
#include "world/world_settings.h"

#include <string>

namespace radishford {

// All settings that a daemon reads at startup.
struct DaemonSettings {
    WorldSettings world_;
    // Address on which callers connect.
    Address callerAddress_;
    // Address on which the local backend server announces itself.
    Address announcementAddress_;
    // Address of the platform's store.
    Address storeAddress_;
    CallerLimits callerLimits_;
    ExchangeLimits exchangeLimits_;
};

// Parses and validates settings in JSON. Throws Error that names the invalid key.
DaemonSettings parseSettings(const std::string &text);

// Parses a settings file. Throws Error with UnreadableFile, or as parseSettings() does.
DaemonSettings readSettings(const std::string &path);

} // namespace radishford
