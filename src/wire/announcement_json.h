// Announcements of backend servers as JSON.
#pragma once

#include "world/event_type.h"

#include <string>

namespace radishford {

// Reads an announcement in the product's own form. Throws Error that names the key.
BackendAnnounced announcementFromJson(const std::string &text);

} // namespace radishford
