// Index of the active routes, by host.
#pragma once

#include "ticket/ticket_type.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace radishford {

// Routes, services and limits of the active desired state.
struct RouteTable {
    // Routes of each host without its port, longest path prefix first.
    std::unordered_map<std::string, std::vector<Route>> byHost_;
    // Services by name.
    std::unordered_map<ServiceName, RoutedService, StrongHash> services_;
    // Limits for requests of callers.
    RequestLimits requestLimits_;
};

} // namespace radishford
