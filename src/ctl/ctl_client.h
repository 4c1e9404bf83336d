// HTTP client of radishfordctl for daemons and the platform's store.
#pragma once

#include "net/http_client_server.h"
#include "ticket/ticket_type.h"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace radishford {

// One daemon's response to a request that was sent to all daemons.
struct DaemonResponse {
    std::string instance_;
    std::string failureDomain_;
    // False when the daemon did not respond in time; the body is then null.
    bool ok_ = false;
    boost::json::value body_;
};

// Sends requests to daemons and the store. Each member function blocks until the response or a timeout.
class CtlClient
{
public:
    // Sends requests to the daemon at this admin address first.
    explicit CtlClient(Address admin);

    // Returns a page of the daemon. Throws Error with DaemonUnreachable.
    boost::json::value get(const std::string &target);

    // Requests a page from all daemons that are not known to be down, in parallel. Throws Error with DaemonUnreachable.
    std::vector<DaemonResponse> getFromAllDaemons(const std::string &target);

    // Submits a ticket. Without a clear response it is submitted again through another daemon; the submission id makes this idempotent.
    // Throws Error with TicketUnknown when no daemon reports the outcome.
    boost::json::value submit(const Ticket &ticket);

    // Returns tickets from the store, starting at a number. Throws Error with StoreDown.
    std::vector<Ticket> readTickets(Address store, TicketNumber from);

private:
    // Returns the admin addresses to submit through: the given daemon first, then other running daemons.
    std::vector<Address> submitAddresses();

    // Sends one request and waits for the response; empty on failure or timeout.
    std::optional<HttpResponse> sendRequest(const Address &address, HttpRequest request, std::chrono::milliseconds timeout);

    // Admin address of the daemon given on the command line.
    Address admin_;
};

} // namespace radishford
