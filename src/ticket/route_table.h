// Index of the routes in force, by host.
#pragma once

#include "ticket/ticket_type.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace radishford {

// Routes of the desired state in force.
struct RouteTable {
    // Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<Route>> byHost_;
    // Services by name.
    std::unordered_map<ServiceName, RoutedService, StrongHash> services_;
    // What callers may send.
    CallerBounds bounds_;
};

} // namespace radishford
