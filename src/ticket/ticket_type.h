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

// One part of a route's calls.
struct RoutePart {
    ServiceName service_;
    // Share of the calls, relative to the other parts of the route.
    std::int32_t weight_ = 1;
};

// Which calls go to which service, by host and path.
struct Route {
    // Name of the route; calls of it are counted under this name.
    ClassName name_;
    // Host that callers name, without port.
    std::string host_;
    // Start of the path; among matching routes the longest prefix wins.
    std::string pathPrefix_;
    // True when running a request twice does no harm.
    bool idempotent_ = false;
    // True when bodies are large and should be streamed.
    bool streamed_ = false;
    // Longest time that a caller is kept waiting.
    Millis timeout_;
    // Time within which an answer has its full value.
    Millis latencyTarget_;
    // Urgency; zero is the most urgent.
    std::uint8_t priority_ = 0;
    // Most backend servers to which one call may be sent.
    std::int32_t maxBackends_ = 1;
    // Where calls go; at least one.
    std::vector<RoutePart> parts_;
};

// What the desired state says of a service.
struct RoutedService {
    ServiceName name_;
    // Path that tells a backend server's health and load.
    std::string healthPath_;
};

// What callers may send, and how long they may take.
struct CallerBounds {
    Bytes maxHeader_{262144};
    Bytes maxBody_{std::int64_t{64} << 20};
    Millis headerTimeout_{30000};
    Millis idleTimeout_{30000};
};

// The desired state of all routing, replaced as a whole.
struct RoutingSpec {
    std::vector<Route> routes_;
    std::vector<RoutedService> services_;
    CallerBounds bounds_;
};

// State of one object.
using ObjectSpec = std::variant<ServiceSpec, BudgetSpec, DrainSpec, QuarantineSpec, RoutingSpec>;

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
