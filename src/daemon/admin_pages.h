// Pages for operators and their tools.
#pragma once

#include "daemon/settings.h"
#include "net/engine.h"
#include "net/http_exchange.h"
#include "net/signal.h"

#include <map>
#include <memory>
#include <optional>

namespace radishford {

// Serves metrics, spans, the fleet, tickets, budgets and quarantine.
class AdminPages
{
public:
    AdminPages(Engine &engine, const DaemonSettings &settings);

    // Starts to accept.
    void start();

    // Passes the outcome of a ticket on to the operator who waits for it.
    void answerTicket(const ReplyTicket &effect);

    // Pages, each for one path.
    TextResponse metricsPage(const std::string &query);
    TextResponse spansPage(const std::string &query);
    TextResponse readyPage(const std::string &query);
    TextResponse statusPage(const std::string &query);
    TextResponse membersPage(const std::string &query);
    TextResponse objectsPage(const std::string &query);
    TextResponse budgetPage(const std::string &query);
    TextResponse quarantinePage(const std::string &query);

private:
    // An operator's request that waits for its ticket.
    struct WaitingTicket {
        explicit WaitingTicket(const asio::any_io_executor &executor)
            : changed_(executor)
        {
        }
        std::optional<ReplyTicket> reply_;
        Signal changed_;
    };

    // Answers one request.
    Task<TextResponse> answer(TextRequest request);

    // Submits a ticket and waits for its outcome.
    Task<TextResponse> submit(std::string text);

    Engine &engine_;
    DaemonSettings settings_;
    TextServer server_;
    std::uint64_t lastHandle_ = 0;
    std::map<std::uint64_t, std::shared_ptr<WaitingTicket>> waiting_;
};

} // namespace radishford
