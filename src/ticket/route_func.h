// Looking up routes of the desired state.
#pragma once

#include "core/random.h"
#include "ticket/route_table.h"

#include <string>
#include <string_view>

namespace radishford {

// Replaces the index by one of a desired state.
void indexRoutes(RouteTable &table, const RoutingSpec &spec);

// The route of a request, or nullptr. The path is matched without its query; a port in the host is ignored.
const Route *findRoute(const RouteTable &table, std::string_view host, std::string_view path);

// Draws the service that takes one call of a route, by weight.
const ServiceName &drawService(const std::vector<RoutePart> &parts, Random &random);

// Path that tells health and load of a service's backend servers; empty when the desired state names none.
std::string healthPathOf(const RouteTable &table, const ServiceName &service);

} // namespace radishford
