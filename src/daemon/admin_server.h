// HTTP server of the admin address, for operators and their tools.
#pragma once

#include "daemon/settings.h"
#include "net/engine.h"
#include "net/http_exchange.h"
#include "net/signal.h"

#include <map>
#include <memory>
#include <optional>

namespace radishford {

// Serves metrics, spans, readiness, fleet members, budgets and quarantine, and accepts tickets.
class AdminServer
{
public:
    AdminServer(Engine &engine, const DaemonSettings &settings);

    // Starts to accept connections.
    void start();

    // Passes the outcome of a ticket to the HTTP request that submitted it. Ignored when that request is no longer pending.
    void completeSubmission(const ReplyTicket &effect);

    // Page handlers, one for each path; they receive the URL's query.
    TextResponse metricsPage(const std::string &query);
    TextResponse spansPage(const std::string &query);
    TextResponse readyPage(const std::string &query);
    TextResponse statusPage(const std::string &query);
    TextResponse membersPage(const std::string &query);
    TextResponse objectsPage(const std::string &query);
    TextResponse budgetPage(const std::string &query);
    TextResponse quarantinePage(const std::string &query);

private:
    // A submission whose HTTP request waits for the ticket's outcome.
    struct PendingSubmission {
        explicit PendingSubmission(const asio::any_io_executor &executor)
            : completed_(executor)
        {
        }
        std::optional<ReplyTicket> reply_;
        Signal completed_;
    };

    // Dispatches one request by path and method; unknown pages give AdminUnknown.
    Task<TextResponse> handleRequest(TextRequest request);

    // Validates a ticket, posts it to the engine and waits for its outcome.
    Task<TextResponse> submitTicket(std::string text);

    Engine &engine_;
    DaemonSettings settings_;
    TextServer server_;
    // Handle of the last submission; each submission gets the next number.
    std::uint64_t lastHandle_ = 0;
    // Submissions without an outcome, by handle.
    std::map<std::uint64_t, std::shared_ptr<PendingSubmission>> pending_;
};

} // namespace radishford
