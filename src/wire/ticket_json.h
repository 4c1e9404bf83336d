// Encoding and parsing of tickets in JSON, for operators' files, rows of the platform's table and admin pages of the daemon.
#pragma once

#include "ticket/ticket_type.h"

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace radishford {

struct Place;

// Parses a ticket. The number is zero when it is missing. Throws Error whose message names the invalid key.
Ticket ticketFromJson(const boost::json::value &json);

// Parses a ticket from a JSON document. Throws Error with BadJson, or as ticketFromJson.
Ticket parseTicket(const std::string &text);

// Encodes a ticket with all its fields.
boost::json::value toJson(const Ticket &ticket);

// Encodes the limits of a budget between two regions.
boost::json::value toJson(const RegionPairBudget &pair);

// Encodes an active object.
boost::json::value toJson(const TicketObject &object);

// Name of an object's kind, as in the "kind" key.
const char *objectKindName(const ObjectSpec &spec);

// Checks that the budgets of a ticket name only regions of the deployment. Throws Error with UnknownFailureDomain.
void checkBudgetRegions(const Ticket &ticket, const std::vector<Place> &places);

} // namespace radishford
