// Builds and searches the index of the active routes.
#include "ticket/route_func.h"

#include <algorithm>
#include <numeric>

namespace radishford {

void rebuildRouteIndex(RouteTable &table, const RoutingSpec &spec)
{
    RouteTable rebuilt;
    for (const Route &route : spec.routes_) {
        rebuilt.byHost_[route.host_].push_back(route);
    }
    for (auto &[host, routes] : rebuilt.byHost_) {
        const auto longer = [](const Route &first, const Route &second) { return first.pathPrefix_.size() > second.pathPrefix_.size(); };
        std::stable_sort(routes.begin(), routes.end(), longer);
    }
    for (const RoutedService &service : spec.services_) {
        rebuilt.services_[service.name_] = service;
    }
    rebuilt.requestLimits_ = spec.requestLimits_;
    table = std::move(rebuilt);
}

const Route *findRoute(const RouteTable &table, std::string_view host, std::string_view path)
{
    const auto found = table.byHost_.find(std::string(host.substr(0, host.find(':'))));
    if (found == table.byHost_.end()) {
        return nullptr;
    }
    const std::string_view pathWithoutQuery = path.substr(0, path.find('?'));
    const auto &routes = found->second;
    const auto match = std::find_if(routes.begin(), routes.end(), [&](const Route &route) { return pathWithoutQuery.starts_with(route.pathPrefix_); });
    return match == routes.end() ? nullptr : &*match;
}

const ServiceName &pickServiceByWeight(const std::vector<WeightedService> &services, Random &random)
{
    const auto add = [](std::int64_t sum, const WeightedService &service) { return sum + service.weight_; };
    const std::int64_t total = std::accumulate(services.begin(), services.end(), std::int64_t{0}, add);
    if (total <= 0) {
        return services.front().service_;
    }
    auto remainder = static_cast<std::int64_t>(random.uniformBelow(static_cast<std::uint64_t>(total)));
    for (const WeightedService &service : services) {
        remainder -= service.weight_;
        if (remainder < 0) {
            return service.service_;
        }
    }
    return services.back().service_;
}

std::string findHealthPath(const RouteTable &table, const ServiceName &service)
{
    const auto found = table.services_.find(service);
    return found == table.services_.end() ? std::string() : found->second.healthPath_;
}

} // namespace radishford
