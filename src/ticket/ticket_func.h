// Configuration in force: reading, spreading and changing it.
#pragma once

#include "core/clock_type.h"
#include "core/result_code.h"
#include "fleet/gossip_type.h"
#include "ticket/ticket_table.h"
#include "world/event_type.h"

namespace radishford {

struct World;

// Starts to join: nothing is in force yet.
void startTickets(World &world);

// Takes note of the ticket that another daemon has in force.
void noteTicket(World &world, const Address &from, const GossipHeader &header);

// Merges objects of a peer.
void handle(World &world, const TicketBatchArrived &event);

// Starts to submit an operator's ticket.
void handle(World &world, const TicketSubmitted &event);

// Takes the store's answer to a read or write of tickets. Returns false when the request is not about tickets.
bool takeTicketAnswer(World &world, std::uint64_t request, const StoreAnswer &answer);

// Brings an object into force unless a higher ticket has set it. Returns true when it did.
bool applyObject(World &world, const TicketObject &object);

// Raises the highest known ticket and logs it.
void raiseHighest(World &world, TicketNumber number);

// Objects set after a ticket, for a peer that asks.
TicketBatch objectsAfter(const World &world, TicketNumber after);

// Tests a ticket against the configuration in force without changing anything.
ResultCode testTicket(const World &world, const Ticket &ticket);

// The service's declaration in force, or nullptr.
const ServiceSpec *findService(const World &world, const ServiceName &name);

// True when a ticket in force drains the instance.
bool isDrainedByTicket(const World &world, const InstanceName &name);

// Reads the store, pulls from peers, submits tickets, and decides when this daemon may serve.
void runTickets(World &world);

// When the ticket system must run next.
Millis nextTickets(const World &world);

} // namespace radishford
