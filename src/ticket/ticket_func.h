// Reads, distributes and changes the active configuration.
#pragma once

#include "core/clock_type.h"
#include "core/result_code.h"
#include "fleet/datagram_type.h"
#include "ticket/ticket_table.h"
#include "world/event_type.h"

namespace radishford {

struct World;

// Schedules the first read of the store. Called at the start, when no configuration is active.
void scheduleFirstTicketRead(World &world);

// Records the highest ticket that another daemon reports in a gossip header, and that daemon as the peer to pull from when it is higher
// than the own one. Also records the daemon's failure domain when its configuration is current.
void recordPeerTicket(World &world, const Address &from, const GossipHeader &header);

// Applies the objects that a peer sent, or abandons the pull when the peer did not respond.
void handle(World &world, const TicketBatchArrived &event);

// Validates an operator's ticket and queues it for the store. One whose number is taken is queued as well; other invalid ones are refused.
void handle(World &world, const TicketSubmitted &event);

// Ends all submissions with an unknown outcome, since the daemon exits.
void endSubmissions(World &world);

// Processes the store's response to a read or write of tickets. Returns false when the request is not one of the ticket system.
bool handleTicketResponse(World &world, std::uint64_t request, const StoreResponse &response);

// Applies an object and its side effects, unless the same or a higher ticket has already set it. Returns true when it was applied.
bool applyObject(World &world, const TicketObject &object);

// Sets the highest known ticket and logs it. A lower or equal number is ignored.
void advanceHighestTicket(World &world, TicketNumber number);

// Returns the objects that tickets after the given one have set, for a peer that pulls them.
TicketBatch objectsSetAfter(const World &world, TicketNumber after);

// Checks whether a ticket's number follows the highest active one. Returns Ok, NotReady, TicketConflict or TicketNotNext and changes
// nothing.
ResultCode validateTicket(const World &world, const Ticket &ticket);

// Returns the active declaration of a service, or nullptr.
const ServiceSpec *findService(const World &world, const ServiceName &name);

// Returns true when an active ticket drains the instance.
bool isDrainedByTicket(const World &world, const InstanceName &name);

// Reads the store, pulls from peers and submits tickets when these are due, and decides when this daemon may serve.
void runTickets(World &world);

// Returns the time at which the ticket system is due next.
Millis nextTicketsDue(const World &world);

} // namespace radishford
