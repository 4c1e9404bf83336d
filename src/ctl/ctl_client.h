// Requests of the operators' command line to daemons and to the platform's table service.
#pragma once

#include "net/http_exchange.h"
#include "ticket/ticket_type.h"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace radishford {

// One daemon's answer to a question that was put to the whole fleet.
struct FleetAnswer {
    std::string instance_;
    std::string failureDomain_;
    // False when the daemon did not answer.
    bool ok_ = false;
    boost::json::value body_;
};

// Asks daemons and the store; every call waits for its answer.
class CtlClient
{
public:
    // Asks through the daemon at this admin address first.
    explicit CtlClient(Address admin);

    // A page of the daemon. Throws Error with DaemonUnreachable.
    boost::json::value get(const std::string &target);

    // A page of each running daemon, asked at the same time.
    std::vector<FleetAnswer> getFromFleet(const std::string &target);

    // Submits a ticket; after a lost answer asks again, through another daemon if need be. The submission id keeps this idempotent.
    boost::json::value submit(const Ticket &ticket);

    // Tickets of the table from a number on. Throws Error with StoreDown.
    std::vector<Ticket> readTickets(Address store, TicketNumber from);

private:
    // Admin addresses to submit through: the given daemon first, then others.
    std::vector<Address> submitAddresses();

    // Runs one request to its end.
    std::optional<TextResponse> ask(const Address &address, TextRequest request, std::chrono::milliseconds timeout);

    Address admin_;
};

} // namespace radishford
