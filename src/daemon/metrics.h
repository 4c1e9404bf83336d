// Metrics in Prometheus format and the report of measuring traffic.
#pragma once

#include "net/engine.h"

#include <boost/json/value.hpp>

#include <string>

namespace radishford {

// Returns all counters, gauges and latency quantiles in Prometheus text format.
std::string metricsText(Engine &engine);

// Returns the active traffic budget and the traffic sent so far, by purpose and region.
boost::json::value budgetReport(const World &world);

} // namespace radishford
