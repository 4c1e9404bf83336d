// HTTP server of the admin address, for operators and their tools.
#include "daemon/admin_server.h"

#include "call/backend_func.h"
#include "call/suspect_func.h"
#include "call/suspect_merge_func.h"
#include "core/error.h"
#include "daemon/metrics.h"
#include "fleet/instance_func.h"
#include "net/failure_response.h"
#include "ticket/ticket_func.h"
#include "wire/ticket_json.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace radishford {

namespace json = boost::json;

namespace {

constexpr unsigned OkStatus = 200;

// Builds a response with status 200 and a JSON body.
HttpResponse jsonPage(const json::value &value)
{
    return makeResponse(OkStatus, "application/json", json::serialize(value) + "\n");
}

// Returns the raw value of a query parameter without URL decoding; empty when absent.
std::string queryParameter(const std::string &query, const std::string &name)
{
    const std::string prefix = name + "=";
    std::size_t start = 0;
    while (start < query.size()) {
        const std::size_t end = std::min(query.find('&', start), query.size());
        if (query.compare(start, prefix.size(), prefix) == 0) {
            return query.substr(start + prefix.size(), end - start - prefix.size());
        }
        start = end + 1;
    }
    return {};
}

// Names of health values and backend states in JSON, in the order of their enums.
constexpr std::array<const char *, 4> HealthNames{"alive", "suspect", "dead", "left"};
constexpr std::array<const char *, 4> BackendStateNames{"absent", "starting", "ready", "draining"};

// Converts an instance into a row of the members page.
json::object memberRow(const World &world, const Instance &row)
{
    const InstanceRecord &record = row.record_;
    return json::object{
        {"instance", record.name_.value()},
        {"failure_domain", record.failureDomain_},
        {"region", regionName(world, row.region_)},
        {"address", toText(record.address_)},
        {"admin_address", toText(record.adminAddress_)},
        {"health", HealthNames[static_cast<std::size_t>(record.health_)]},
        {"service", record.service_.value()},
        {"slots", record.slots_.value()},
        {"backend", BackendStateNames[static_cast<std::size_t>(record.backend_)]},
        {"incarnation", record.incarnation_.value()},
        {"outstanding", row.outstandingAttempts_},
    };
}

// Maps a path to the member function that builds its page.
struct PageEntry {
    std::string_view path_;
    HttpResponse (AdminServer::*handler_)(const std::string &);
};

constexpr std::array PageTable{
    PageEntry{"/metrics", &AdminServer::metricsPage},       PageEntry{"/spans", &AdminServer::spansPage},     PageEntry{"/status", &AdminServer::statusPage},
    PageEntry{"/members", &AdminServer::membersPage},       PageEntry{"/objects", &AdminServer::objectsPage}, PageEntry{"/budget", &AdminServer::budgetPage},
    PageEntry{"/quarantine", &AdminServer::quarantinePage}, PageEntry{"/ready", &AdminServer::readyPage},
};

} // namespace

AdminServer::AdminServer(WorldRunner &worldRunner, const DaemonSettings &settings)
    : worldRunner_(worldRunner)
    , settings_(settings)
    , server_(worldRunner.context(), settings.world_.adminAddress_, [this](HttpRequest request) { return handleRequest(std::move(request)); })
{
}

void AdminServer::start()
{
    server_.start();
}

void AdminServer::completeSubmission(const ReplyToTicket &effect)
{
    const auto found = pending_.find(effect.handle_);
    if (found != pending_.end()) {
        found->second->reply_ = effect;
        found->second->completed_.notify();
    }
}

HttpResponse AdminServer::metricsPage(const std::string & /*query*/)
{
    return makeResponse(OkStatus, "text/plain; version=0.0.4", metricsText(worldRunner_));
}

HttpResponse AdminServer::spansPage(const std::string &query)
{
    const std::string trace = queryParameter(query, "trace");
    return makeResponse(OkStatus, "application/json", worldRunner_.spans().toOtlp(trace, settings_.world_.name_.value()) + "\n");
}

HttpResponse AdminServer::readyPage(const std::string & /*query*/)
{
    const World &world = worldRunner_.world();
    if (isShuttingDown(world)) {
        return failureResponse(ResultCode::DaemonLeaving, "", true);
    }
    return world.tickets_.isCurrent_ ? makeResponse(OkStatus, "text/plain", "ready\n") : failureResponse(ResultCode::NotReady, "", true);
}

HttpResponse AdminServer::statusPage(const std::string & /*query*/)
{
    const World &world = worldRunner_.world();
    const LocalBackend &backend = world.admissions_.backend_;
    return jsonPage(json::object{
        {"instance", settings_.world_.name_.value()},
        {"failure_domain", settings_.world_.failureDomain_},
        {"ticket", world.tickets_.highestTicket_.value()},
        {"current", world.tickets_.isCurrent_},
        {"leaving", isShuttingDown(world)},
        {"service", backend.service_.value()},
        {"backend", BackendStateNames[static_cast<std::size_t>(backend.state_)]},
        {"in_flight", world.admissions_.inFlight_.value()},
        {"queued", world.admissions_.queued_.value()},
        {"limit", currentLoadReport(world).limit_.value()},
        {"calls", world.calls_.calls_.size()},
    });
}

HttpResponse AdminServer::membersPage(const std::string & /*query*/)
{
    const World &world = worldRunner_.world();
    json::array rows;
    world.fleet_.rows_.forEach([&](InstanceId /*id*/, const Instance &row) { rows.push_back(memberRow(world, row)); });
    return jsonPage(rows);
}

HttpResponse AdminServer::objectsPage(const std::string & /*query*/)
{
    json::array rows;
    for (const auto &[key, object] : worldRunner_.world().tickets_.objects_) {
        rows.push_back(toJson(object));
    }
    return jsonPage(json::object{{"ticket", worldRunner_.world().tickets_.highestTicket_.value()}, {"objects", rows}});
}

HttpResponse AdminServer::budgetPage(const std::string & /*query*/)
{
    return jsonPage(budgetReport(worldRunner_.world()));
}

HttpResponse AdminServer::quarantinePage(const std::string & /*query*/)
{
    const World &world = worldRunner_.world();
    json::array rows;
    for (const auto &[fingerprint, suspect] : world.suspects_.rows_) {
        if (!isSuspect(world, fingerprint)) {
            continue;
        }
        const Millis endsAt = suspect.isQuarantinedByOperator_ ? Millis::never() : suspect.expiresAt_;
        rows.push_back(json::object{
            {"fingerprint", toHex(fingerprint.value())},
            {"failures", countOpenFailures(suspect)},
            {"quarantined", isQuarantined(world, fingerprint)},
            {"seconds_left", std::max<std::int64_t>(0, (endsAt - world.now_).count() / 1000)},
        });
    }
    return jsonPage(rows);
}

Task<HttpResponse> AdminServer::handleRequest(HttpRequest request)
{
    const std::string target(request.target());
    const std::size_t queryStart = std::min(target.find('?'), target.size());
    const std::string path = target.substr(0, queryStart);
    if (path == "/tickets" && request.method() == http::verb::post) {
        co_return co_await submitTicket(request.body());
    }
    const auto found = std::find_if(PageTable.begin(), PageTable.end(), [&](const PageEntry &entry) { return entry.path_ == path; });
    if (found == PageTable.end() || request.method() != http::verb::get) {
        co_return failureResponse(ResultCode::AdminUnknown, "", true);
    }
    const std::string query = queryStart < target.size() ? target.substr(queryStart + 1) : std::string();
    co_return (this->*found->handler_)(query);
}

Task<HttpResponse> AdminServer::submitTicket(std::string text)
{
    TicketSubmitted event{++lastHandle_, {}};
    try {
        event.ticket_ = parseTicket(text);
        checkBudgetRegions(event.ticket_, settings_.world_.places_);
    } catch (const Error &error) {
        HttpResponse response = failureResponse(error.code(), "", true);
        response.body() = json::serialize(json::object{{"code", numberOf(error.code())}, {"text", error.what()}}) + "\n";
        co_return response;
    }
    const auto pending = std::make_shared<PendingSubmission>(worldRunner_.context().get_executor());
    pending_[event.handle_] = pending;
    worldRunner_.post(event);
    while (!pending->reply_) {
        co_await pending->completed_.wait();
    }
    pending_.erase(event.handle_);
    const ReplyToTicket &reply = *pending->reply_;
    const ResultCodeInfo &info = resultCodeInfo(reply.code_);
    json::object body{{"code", numberOf(reply.code_)}, {"result", info.name_}, {"text", info.text_}, {"highest", reply.highest_.value()}};
    if (!reply.conflictingTicket_.empty()) {
        body["holder"] = toJson(reply.conflictingTicket_.front());
    }
    co_return makeResponse(info.httpStatus_, "application/json", json::serialize(body) + "\n");
}

} // namespace radishford
