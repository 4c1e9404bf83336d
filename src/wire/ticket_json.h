// Tickets as JSON: files of operators, rows of the platform's table, pages of the daemon.
#pragma once

#include "ticket/ticket_type.h"

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace radishford {

struct Place;

// Reads a ticket. A missing number is given as zero. Throws Error that names the offending key.
Ticket ticketFromJson(const boost::json::value &json);

// Reads a ticket's text. Throws Error with BadJson or as above.
Ticket parseTicket(const std::string &text);

// Writes a ticket with all its fields.
boost::json::value toJson(const Ticket &ticket);

// Writes a limit between two regions.
boost::json::value toJson(const RegionPairBudget &pair);

// Writes an object in force.
boost::json::value toJson(const TicketObject &object);

// Names of the kinds of objects, by index of ObjectSpec.
const char *kindName(const ObjectSpec &spec);

// Checks that budgets name known regions. Throws Error with UnknownFailureDomain.
void checkPlaces(const Ticket &ticket, const std::vector<Place> &places);

} // namespace radishford
