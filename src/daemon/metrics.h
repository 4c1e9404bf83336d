// Counters as metrics and reports.
#pragma once

#include "net/engine.h"

#include <boost/json/value.hpp>

#include <string>

namespace radishford {

// All counters in the Prometheus text form.
std::string metricsText(Engine &engine);

// Measuring traffic against the budget in force, by purpose and region.
boost::json::value budgetReport(const World &world);

} // namespace radishford
