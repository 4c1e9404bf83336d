// Metrics in Prometheus format and the report of measuring traffic.
#include "daemon/metrics.h"

#include "daemon/log.h"

#include "fleet/instance_func.h"
#include "table/counter_names.h"
#include "table/unanswered_reasons.h"
#include "wire/ticket_json.h"

#include <boost/json.hpp>

#include <sstream>

namespace radishford {

namespace json = boost::json;

namespace {

// Appends one metric with the common prefix.
void addLine(std::string &text, const std::string &name, std::uint64_t value)
{
    text += "radishford_" + name + " " + std::to_string(value) + "\n";
}

// Appends the number of results by code.
void addResults(std::string &text, const Counters &counters)
{
    for (const auto &[code, count] : counters.results_) {
        const std::string label = "results_total{code=\"" + std::to_string(numberOf(code)) + "\",name=\"" + std::string(resultCodeInfo(code).name_) + "\"}";
        addLine(text, label, count);
    }
}

// Appends the number of requests without a complete response by reason.
void addUnanswered(std::string &text, const Counters &counters)
{
    for (std::size_t index = 0; index < UnansweredReasonNames.size(); ++index) {
        addLine(text, "unanswered_total{reason=\"" + std::string(UnansweredReasonNames[index]) + "\"}", counters.unanswered_[index]);
    }
}

// Returns the labels of a traffic counter.
std::string trafficLabels(const World &world, const TrafficKey &key)
{
    const std::string purpose(PurposeNames[static_cast<std::size_t>(key.purpose_)]);
    return "{purpose=\"" + purpose + "\",to=\"" + regionName(world, key.toRegion_) + "\"}";
}

// Appends messages and bytes sent, by purpose and target region.
void addTraffic(std::string &text, const World &world)
{
    for (const auto &[key, traffic] : world.counters_.traffic_) {
        addLine(text, "messages_total" + trafficLabels(world, key), traffic.messages_);
        addLine(text, "bytes_total" + trafficLabels(world, key), static_cast<std::uint64_t>(traffic.bytes_.value()));
    }
}

// Appends the counters of the front end.
void addFrontEndCounters(std::string &text, const FrontEndCounters &frontEndCounters)
{
    addLine(text, "bad_messages_total", frontEndCounters.badMessages_);
    addLine(text, "bad_requests_total", frontEndCounters.badRequests_);
    addLine(text, "pipelined_requests_total", frontEndCounters.pipelinedRequests_);
    addLine(text, "refused_connections_total", frontEndCounters.refusedConnections_);
    addLine(text, "exchange_bytes_total{purpose=\"call\"}", frontEndCounters.callBytes_);
    addLine(text, "exchange_bytes_total{purpose=\"retry\"}", frontEndCounters.retryBytes_);
}

// Appends latency quantiles of calls in milliseconds.
void addLatency(std::string &text, const LatencyMetrics &latency)
{
    for (const double quantile : LatencyMetrics::Quantiles) {
        std::ostringstream line;
        line << "radishford_call_milliseconds{quantile=\"" << quantile << "\"} " << latency.quantile(quantile) << "\n";
        text += line.str();
    }
    addLine(text, "call_milliseconds_count", latency.count());
}

// Appends current table sizes, the active ticket and the number of dropped log lines.
void addGauges(std::string &text, const World &world)
{
    addLine(text, "log_lines_dropped_total", droppedLogLines());
    addLine(text, "ticket", world.tickets_.highestTicket_.value());
    addLine(text, "current", world.tickets_.isCurrent_ ? 1 : 0);
    addLine(text, "calls", world.calls_.calls_.size());
    addLine(text, "admissions", world.admissions_.rows_.size());
    addLine(text, "in_flight", static_cast<std::uint64_t>(world.admissions_.inFlight_.value()));
    addLine(text, "backend_leaving", world.admissions_.backend_.isLeaving_ ? 1 : 0);
    if (world.admissions_.limit_.rate_) {
        std::ostringstream line;
        line << "radishford_request_limit " << world.admissions_.limit_.rate_->value() << "\n";
        text += line.str();
    }
    addLine(text, "instances", world.fleet_.rows_.size());
    addLine(text, "suspects", world.suspects_.rows_.size());
}

} // namespace

std::string metricsText(WorldRunner &worldRunner)
{
    const World &world = worldRunner.world();
    std::string text;
    for (std::size_t index = 0; index < CounterNames.size(); ++index) {
        addLine(text, std::string(CounterNames[index]) + "_total", world.counters_.values_[index]);
    }
    addResults(text, world.counters_);
    addUnanswered(text, world.counters_);
    addTraffic(text, world);
    addFrontEndCounters(text, worldRunner.counters());
    addLatency(text, worldRunner.latency());
    addGauges(text, world);
    return text;
}

json::value budgetReport(const World &world)
{
    const MeasurementBudgetSpec &spec = world.measurement_.spec_;
    json::array spent;
    for (const auto &[key, traffic] : world.counters_.traffic_) {
        spent.push_back(json::object{
            {"purpose", PurposeNames[static_cast<std::size_t>(key.purpose_)]},
            {"from", regionName(world, ownRegion(world))},
            {"to", regionName(world, key.toRegion_)},
            {"messages", traffic.messages_},
            {"bytes", traffic.bytes_.value()},
        });
    }
    json::array pairs;
    for (const RegionPairBudget &pair : spec.regionPairs_) {
        pairs.push_back(toJson(pair));
    }
    return json::object{
        {"bytes_per_second", spec.bytesPerSecond_.value()},
        {"probes_per_second", spec.probesPerSecond_},
        {"pairs_shared_by", world.measurement_.pairLimitDivisor_},
        {"region_pairs", pairs},
        {"spent", spent},
    };
}

} // namespace radishford
