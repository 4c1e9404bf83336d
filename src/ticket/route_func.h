// Looks up routes of the desired state.
#pragma once

#include "core/random.h"
#include "ticket/route_table.h"

#include <string>
#include <string_view>

namespace radishford {

// Rebuilds the index from a desired state; routes and services of the former one are removed.
void rebuildRouteIndex(RouteTable &table, const RoutingSpec &spec);

// Returns the route with the longest matching path prefix for a host, or nullptr. The path is matched without its query; a port in the host
// is ignored.
const Route *findRoute(const RouteTable &table, std::string_view host, std::string_view path);

// Picks the service of one call at random by weight. Returns the first one when the sum of the weights is zero. The list must not be empty.
const ServiceName &pickServiceByWeight(const std::vector<WeightedService> &services, Random &random);

// Returns the path at which a service's backend servers report health and load; empty when the desired state has none.
std::string findHealthPath(const RouteTable &table, const ServiceName &service);

} // namespace radishford
