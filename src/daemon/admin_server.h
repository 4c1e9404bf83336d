// HTTP server of the admin address, for operators and their tools.
#pragma once

#include "daemon/settings.h"
#include "net/async_condition.h"
#include "net/http_client_server.h"
#include "net/world_runner.h"

#include <map>
#include <memory>
#include <optional>

namespace radishford {

// Serves metrics, spans, readiness, fleet members, budgets and quarantine, and accepts tickets.
class AdminServer
{
public:
    AdminServer(WorldRunner &worldRunner, const DaemonSettings &settings);

    // Starts to accept connections.
    void start();

    // Passes the outcome of a ticket to the HTTP request that submitted it. Ignored when that request is no longer pending.
    void completeSubmission(const ReplyToTicket &effect);

    // Page handlers, one for each path; they receive the URL's query.
    HttpResponse metricsPage(const std::string &query);
    HttpResponse spansPage(const std::string &query);
    HttpResponse readyPage(const std::string &query);
    HttpResponse statusPage(const std::string &query);
    HttpResponse membersPage(const std::string &query);
    HttpResponse objectsPage(const std::string &query);
    HttpResponse budgetPage(const std::string &query);
    HttpResponse quarantinePage(const std::string &query);

private:
    // A submission whose HTTP request waits for the ticket's outcome.
    struct PendingSubmission {
        explicit PendingSubmission(const asio::any_io_executor &executor)
            : completed_(executor)
        {
        }
        std::optional<ReplyToTicket> reply_;
        AsyncCondition completed_;
    };

    // Dispatches one request by path and method; unknown pages give AdminUnknown.
    Task<HttpResponse> handleRequest(HttpRequest request);

    // Validates a ticket, posts it to the world runner and waits for its outcome.
    Task<HttpResponse> submitTicket(std::string text);

    WorldRunner &worldRunner_;
    DaemonSettings settings_;
    HttpServer server_;
    // Handle of the last submission; each submission gets the next number.
    std::uint64_t lastHandle_ = 0;
    // Submissions without an outcome, by handle.
    std::map<std::uint64_t, std::shared_ptr<PendingSubmission>> pending_;
};

} // namespace radishford
