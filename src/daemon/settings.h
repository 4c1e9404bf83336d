// Settings of a daemon, read from a JSON file.
#pragma once

#include "net/caller_server.h"
#include "net/exchange_server.h"
#include "world/world_settings.h"

#include <string>

namespace radishford {

// Everything a daemon reads at its start.
struct DaemonSettings {
    WorldSettings world_;
    // Where callers connect.
    Address callerAddress_;
    // Where the backend server beside this daemon announces itself.
    Address announceAddress_;
    // The platform's table service.
    Address storeAddress_;
    CallerLimits callerLimits_;
    ExchangeLimits exchangeLimits_;
};

// Reads settings from JSON text. Throws Error that names the offending key.
DaemonSettings parseSettings(const std::string &text);

// Reads settings from a file.
DaemonSettings readSettings(const std::string &path);

} // namespace radishford
