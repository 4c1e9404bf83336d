// Counters as metrics and reports.
#include "daemon/metrics.h"

#include "daemon/log.h"

#include "fleet/instance_func.h"
#include "table/counter_names.h"
#include "wire/ticket_json.h"

#include <boost/json.hpp>

#include <sstream>

namespace radishford {

namespace json = boost::json;

namespace {

// One line of the metrics page.
void addLine(std::string &text, const std::string &name, std::uint64_t value)
{
    text += "radishford_" + name + " " + std::to_string(value) + "\n";
}

// Counters of results, by code.
void addResults(std::string &text, const Counters &counters)
{
    for (const auto &[code, count] : counters.results_) {
        const std::string label = "results_total{code=\"" + std::to_string(numberOf(code)) + "\",name=\"" + std::string(infoOf(code).name_) + "\"}";
        addLine(text, label, count);
    }
}

// Labels of a traffic counter.
std::string trafficLabels(const World &world, const TrafficKey &key)
{
    const std::string purpose(PurposeNames[static_cast<std::size_t>(key.purpose_)]);
    return "{purpose=\"" + purpose + "\",to=\"" + regionName(world, key.toRegion_) + "\"}";
}

// Counters of traffic, by purpose and region.
void addTraffic(std::string &text, const World &world)
{
    for (const auto &[key, traffic] : world.counters_.traffic_) {
        addLine(text, "messages_total" + trafficLabels(world, key), traffic.messages_);
        addLine(text, "bytes_total" + trafficLabels(world, key), static_cast<std::uint64_t>(traffic.bytes_.value()));
    }
}

// Counters of the front end.
void addFront(std::string &text, const FrontCounters &front)
{
    addLine(text, "bad_messages_total", front.badMessages_);
    addLine(text, "bad_requests_total", front.badRequests_);
    addLine(text, "refused_connections_total", front.refusedConnections_);
    addLine(text, "exchange_bytes_total{purpose=\"call\"}", front.callBytes_);
    addLine(text, "exchange_bytes_total{purpose=\"retry\"}", front.retryBytes_);
}

// Quantiles of call latency.
void addLatency(std::string &text, const LatencyMetrics &latency)
{
    for (const double part : LatencyMetrics::Quantiles) {
        std::ostringstream line;
        line << "radishford_call_milliseconds{quantile=\"" << part << "\"} " << latency.quantile(part) << "\n";
        text += line.str();
    }
    addLine(text, "call_milliseconds_count", latency.count());
}

// Sizes of tables now.
void addGauges(std::string &text, const World &world)
{
    addLine(text, "log_lines_dropped_total", droppedLogLines());
    addLine(text, "ticket", world.tickets_.highest_.value());
    addLine(text, "current", world.tickets_.current_ ? 1 : 0);
    addLine(text, "calls", world.calls_.calls_.size());
    addLine(text, "admissions", world.admissions_.rows_.size());
    addLine(text, "in_flight", static_cast<std::uint64_t>(world.admissions_.inFlight_.value()));
    addLine(text, "instances", world.fleet_.rows_.size());
    addLine(text, "suspects", world.suspects_.rows_.size());
}

} // namespace

std::string metricsText(Engine &engine)
{
    const World &world = engine.world();
    std::string text;
    for (std::size_t index = 0; index < CounterNames.size(); ++index) {
        addLine(text, std::string(CounterNames[index]) + "_total", world.counters_.values_[index]);
    }
    addResults(text, world.counters_);
    addTraffic(text, world);
    addFront(text, engine.counters());
    addLatency(text, engine.latency());
    addGauges(text, world);
    return text;
}

json::value budgetReport(const World &world)
{
    const BudgetSpec &spec = world.measure_.spec_;
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
        {"pairs_shared_by", world.measure_.sharers_},
        {"region_pairs", pairs},
        {"spent", spent},
    };
}

} // namespace radishford
