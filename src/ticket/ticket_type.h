// Change tickets and the objects whose whole new state they carry.
#pragma once

#include "core/clock_type.h"
#include "core/units_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace radishford {

// One class of requests of a service. A request belongs to the first class that matches it.
struct RequestClass {
    // Name within the service.
    ClassName name_;
    // HTTP methods; empty matches all.
    std::vector<std::string> methods_;
    // Start of the path.
    std::string pathPrefix_;
    // True when running a request twice does no harm.
    bool idempotent_ = false;
    // True when callers must send an Idempotency-Key header.
    bool keyRequired_ = false;
    // Part of a backend server's slots that the class may hold.
    Permille slotShare_{1000};
    // Requests of the class that may wait at one backend server.
    Slots queue_;
    // Time for a call when the caller names none.
    Millis deadline_;
    // Largest body.
    Bytes maxBody_;
    // True when the body is streamed rather than buffered whole before hand-over.
    bool streamed_ = false;
};

// A service and its request classes.
struct ServiceSpec {
    std::vector<RequestClass> classes_;
    // Further attempts, in thousandths of calls.
    Permille retryBudget_;
    // Time over which a new backend server's limit rises to its slots.
    Millis coldStart_;
    // How long a draining backend server may take to finish.
    Millis drainTimeout_;
    // How long a request that ran at two failures is refused.
    Millis quarantine_;
};

// Limit of measuring traffic between two regions, shared by the daemons of the first.
struct RegionPairBudget {
    std::string from_;
    std::string to_;
    Bytes bytesPerSecond_;
    std::int32_t probesPerSecond_ = 0;
};

// Limits of measuring traffic.
struct BudgetSpec {
    // Limit of one daemon.
    Bytes bytesPerSecond_;
    // Limit of one daemon.
    std::int32_t probesPerSecond_ = 0;
    // Number of daemons in a region by which pair limits are divided; more known daemons divide further.
    std::int32_t daemonsPerRegion_ = 1;
    std::vector<RegionPairBudget> regionPairs_;
};

// Whether operators want an instance's backend server to take no new work.
struct DrainSpec {
    bool draining_ = false;
};

// Operators' word on one request fingerprint.
struct QuarantineSpec {
    // True refuses it, false sets it free.
    bool quarantined_ = false;
};

// State of one object.
using ObjectSpec = std::variant<ServiceSpec, BudgetSpec, DrainSpec, QuarantineSpec>;

// The whole new state of one object, and the ticket that set it.
struct TicketObject {
    // Name within the kind: service, "measuring", instance or fingerprint.
    std::string name_;
    TicketNumber number_;
    ObjectSpec spec_;
};

// One change ticket.
struct Ticket {
    TicketNumber number_;
    // Drawn by the submitter; tells its own ticket from a rival's after a lost answer.
    std::string submission_;
    std::string author_;
    std::string reason_;
    std::vector<TicketObject> objects_;
};

// Asks a peer for every object set after a ticket.
struct TicketPull {
    TicketNumber after_;
};

// Objects in force at the sender.
struct TicketBatch {
    // Objects set up to this ticket are left out.
    TicketNumber after_;
    // The sender knows all tickets up to this one.
    TicketNumber highest_;
    // True when the sender serves by that ticket.
    bool current_ = false;
    std::vector<TicketObject> objects_;
};

} // namespace radishford
