// Parsing of backend server announcements in JSON.
#pragma once

#include "world/event_type.h"

#include <string>

namespace radishford {

// Parses an announcement in the native format of the daemon. Throws Error whose message names the invalid key.
BackendAnnounced announcementFromJson(const std::string &text);

} // namespace radishford
