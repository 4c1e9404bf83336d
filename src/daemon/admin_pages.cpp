// Pages for operators and their tools.
#include "daemon/admin_pages.h"

#include "call/backend_func.h"
#include "call/suspect_func.h"
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

// A page that shows a JSON value.
TextResponse jsonPage(const json::value &value)
{
    return makeResponse(OkStatus, "application/json", json::serialize(value) + "\n");
}

// The value of a query's parameter; empty when absent.
std::string parameter(const std::string &query, const std::string &name)
{
    const std::string wanted = name + "=";
    std::size_t start = 0;
    while (start < query.size()) {
        const std::size_t end = std::min(query.find('&', start), query.size());
        if (query.compare(start, wanted.size(), wanted) == 0) {
            return query.substr(start + wanted.size(), end - start - wanted.size());
        }
        start = end + 1;
    }
    return {};
}

// Names of health values and backend states on pages.
constexpr std::array<const char *, 4> HealthNames{"alive", "suspect", "dead", "left"};
constexpr std::array<const char *, 4> StateNames{"absent", "starting", "ready", "draining"};

// One row of the members page.
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
        {"backend", StateNames[static_cast<std::size_t>(record.backend_)]},
        {"incarnation", record.incarnation_.value()},
        {"outstanding", row.outstanding_},
    };
}

// A page and the path it is served at.
struct PageEntry {
    std::string_view path_;
    TextResponse (AdminPages::*page_)(const std::string &);
};

constexpr std::array Pages{
    PageEntry{"/metrics", &AdminPages::metricsPage},       PageEntry{"/spans", &AdminPages::spansPage},     PageEntry{"/status", &AdminPages::statusPage},
    PageEntry{"/members", &AdminPages::membersPage},       PageEntry{"/objects", &AdminPages::objectsPage}, PageEntry{"/budget", &AdminPages::budgetPage},
    PageEntry{"/quarantine", &AdminPages::quarantinePage}, PageEntry{"/ready", &AdminPages::readyPage},
};

} // namespace

AdminPages::AdminPages(Engine &engine, const DaemonSettings &settings)
    : engine_(engine)
    , settings_(settings)
    , server_(engine.context(), settings.world_.adminAddress_, [this](TextRequest request) { return answer(std::move(request)); })
{
}

void AdminPages::start()
{
    server_.start();
}

void AdminPages::answerTicket(const ReplyTicket &effect)
{
    const auto found = waiting_.find(effect.handle_);
    if (found != waiting_.end()) {
        found->second->reply_ = effect;
        found->second->changed_.notify();
    }
}

TextResponse AdminPages::metricsPage(const std::string & /*query*/)
{
    return makeResponse(OkStatus, "text/plain; version=0.0.4", metricsText(engine_));
}

TextResponse AdminPages::spansPage(const std::string &query)
{
    const std::string trace = parameter(query, "trace");
    return makeResponse(OkStatus, "application/json", engine_.spans().toOtlp(trace, settings_.world_.name_.value()) + "\n");
}

TextResponse AdminPages::readyPage(const std::string & /*query*/)
{
    const World &world = engine_.world();
    if (isLeaving(world)) {
        return failureResponse(ResultCode::DaemonLeaving, "", true);
    }
    return world.tickets_.current_ ? makeResponse(OkStatus, "text/plain", "ready\n") : failureResponse(ResultCode::NotReady, "", true);
}

TextResponse AdminPages::statusPage(const std::string & /*query*/)
{
    const World &world = engine_.world();
    const LocalBackend &backend = world.admissions_.backend_;
    return jsonPage(json::object{
        {"instance", settings_.world_.name_.value()},
        {"failure_domain", settings_.world_.failureDomain_},
        {"ticket", world.tickets_.highest_.value()},
        {"current", world.tickets_.current_},
        {"leaving", isLeaving(world)},
        {"service", backend.service_.value()},
        {"backend", StateNames[static_cast<std::size_t>(backend.state_)]},
        {"in_flight", world.admissions_.inFlight_.value()},
        {"queued", world.admissions_.queued_.value()},
        {"limit", currentLoad(world).limit_.value()},
        {"calls", world.calls_.calls_.size()},
    });
}

TextResponse AdminPages::membersPage(const std::string & /*query*/)
{
    const World &world = engine_.world();
    json::array rows;
    world.fleet_.rows_.forEach([&](InstanceId /*id*/, const Instance &row) { rows.push_back(memberRow(world, row)); });
    return jsonPage(rows);
}

TextResponse AdminPages::objectsPage(const std::string & /*query*/)
{
    json::array rows;
    for (const auto &[key, object] : engine_.world().tickets_.objects_) {
        rows.push_back(toJson(object));
    }
    return jsonPage(json::object{{"ticket", engine_.world().tickets_.highest_.value()}, {"objects", rows}});
}

TextResponse AdminPages::budgetPage(const std::string & /*query*/)
{
    return jsonPage(budgetReport(engine_.world()));
}

TextResponse AdminPages::quarantinePage(const std::string & /*query*/)
{
    const World &world = engine_.world();
    json::array rows;
    for (const auto &[fingerprint, suspect] : world.suspects_.rows_) {
        rows.push_back(json::object{
            {"fingerprint", toHex(fingerprint.value())},
            {"failures", suspect.failures_.size()},
            {"quarantined", isQuarantined(world, fingerprint)},
            {"seconds_left", std::max<std::int64_t>(0, (suspect.until_ - world.now_).count() / 1000)},
        });
    }
    return jsonPage(rows);
}

Task<TextResponse> AdminPages::answer(TextRequest request)
{
    const std::string target(request.target());
    const std::size_t mark = std::min(target.find('?'), target.size());
    const std::string path = target.substr(0, mark);
    if (path == "/tickets" && request.method() == http::verb::post) {
        co_return co_await submit(request.body());
    }
    const auto found = std::find_if(Pages.begin(), Pages.end(), [&](const PageEntry &entry) { return entry.path_ == path; });
    if (found == Pages.end() || request.method() != http::verb::get) {
        co_return failureResponse(ResultCode::AdminUnknown, "", true);
    }
    const std::string query = mark < target.size() ? target.substr(mark + 1) : std::string();
    co_return (this->*found->page_)(query);
}

Task<TextResponse> AdminPages::submit(std::string text)
{
    TicketSubmitted event{++lastHandle_, {}};
    try {
        event.ticket_ = parseTicket(text);
        checkPlaces(event.ticket_, settings_.world_.places_);
    } catch (const Error &problem) {
        TextResponse response = failureResponse(problem.code(), "", true);
        response.body() = json::serialize(json::object{{"code", numberOf(problem.code())}, {"text", problem.what()}}) + "\n";
        co_return response;
    }
    const auto waiting = std::make_shared<WaitingTicket>(engine_.context().get_executor());
    waiting_[event.handle_] = waiting;
    engine_.post(event);
    while (!waiting->reply_) {
        co_await waiting->changed_.wait();
    }
    waiting_.erase(event.handle_);
    const ReplyTicket &reply = *waiting->reply_;
    const ResultCodeInfo &info = infoOf(reply.code_);
    json::object body{{"code", numberOf(reply.code_)}, {"result", info.name_}, {"text", info.text_}, {"highest", reply.highest_.value()}};
    if (!reply.holder_.empty()) {
        body["holder"] = toJson(reply.holder_.front());
    }
    co_return makeResponse(info.httpStatus_, "application/json", json::serialize(body) + "\n");
}

} // namespace radishford
