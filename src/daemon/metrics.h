// Metrics in Prometheus format and the report of measuring traffic.
#pragma once

#include "net/world_runner.h"

#include <boost/json/value.hpp>

#include <string>

namespace radishford {

// Returns all counters, gauges and latency quantiles in Prometheus text format.
std::string metricsText(WorldRunner &worldRunner);

// Returns the active traffic budget and the traffic sent so far, by purpose and region.
boost::json::value budgetReport(const World &world);

} // namespace radishford
