// Change tickets and the objects whose complete new state they contain.
#pragma once

#include "core/clock_type.h"
#include "core/units_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace radishford {

// A class of requests of a service. A request belongs to the first class that matches it.
struct RequestClass {
    // Name, unique within the service.
    ClassName name_;
    // HTTP methods; an empty list matches all.
    std::vector<std::string> methods_;
    // Prefix of the path.
    std::string pathPrefix_;
    // True when running a request twice has the same effect as running it once.
    bool isIdempotent_ = false;
    // True when callers must send an Idempotency-Key header.
    bool isKeyRequired_ = false;
    // Share of a backend server's slots that the class may occupy.
    Permille slotShare_{1000};
    // Requests of the class that may wait at one backend server.
    Slots queueLimit_;
    // Deadline of a call for which the caller sets none.
    Millis deadline_;
    // Maximum body size.
    Bytes maxBody_;
    // True when the body is streamed instead of being buffered completely before hand-over.
    bool isStreamed_ = false;
};

// A service and its request classes.
struct ServiceSpec {
    std::vector<RequestClass> classes_;
    // Retries allowed, in thousandths of the calls.
    Permille retryBudget_;
    // Time over which the limit of a new backend server rises to its slots.
    Millis coldStart_;
    // Time that a draining backend server has to finish its requests.
    Millis drainTimeout_;
    // Time for which a request is refused that was running at two backend server failures.
    Millis quarantine_;
};

// Limit of measurement traffic from one region to another, shared by the daemons of the first.
struct RegionPairBudget {
    std::string from_;
    std::string to_;
    Bytes bytesPerSecond_;
    std::int32_t probesPerSecond_ = 0;
};

// Limits of measurement traffic.
struct MeasurementBudgetSpec {
    // Limit of one daemon over all targets.
    Bytes bytesPerSecond_;
    // Limit of one daemon over all targets.
    std::int32_t probesPerSecond_ = 0;
    // Number of daemons in a region by which pair limits are divided. When more daemons are known, their number is used instead.
    std::int32_t daemonsPerRegion_ = 1;
    std::vector<RegionPairBudget> regionPairs_;
};

// Operators' decision whether an instance's backend server receives no new requests.
struct DrainSpec {
    bool isDraining_ = false;
};

// Operators' decision on the quarantine of one request fingerprint.
struct QuarantineSpec {
    // True refuses requests with the fingerprint, false allows them again.
    bool isQuarantined_ = false;
};

// A service that receives a share of a route's calls.
struct WeightedService {
    ServiceName service_;
    // Share of the calls, relative to the sum of the weights of the route.
    std::int32_t weight_ = 1;
};

// Maps calls to services by host and path.
struct Route {
    // Name of the route, used in metrics.
    ClassName name_;
    // Host in the request, without a port.
    std::string host_;
    // Prefix of the path; the longest matching prefix is used.
    std::string pathPrefix_;
    // True when running a request twice has the same effect as running it once.
    bool isIdempotent_ = false;
    // True when bodies are large and should be streamed.
    bool isStreamed_ = false;
    // Maximum time until a call completes with a response or fails.
    Millis timeout_;
    // Time within which a response has its full value.
    Millis latencyTarget_;
    // Priority; zero is the highest.
    std::uint8_t priority_ = 0;
    // Maximum number of backend servers to which one call may be sent.
    std::int32_t maxBackends_ = 1;
    // Services that receive the calls; at least one.
    std::vector<WeightedService> weightedServices_;
};

// Settings of a service in the desired state.
struct RoutedService {
    ServiceName name_;
    // Path at which a backend server reports health and load.
    std::string healthPath_;
};

// Limits for the size of callers' requests and for the time to send them.
struct RequestLimits {
    Bytes maxHeader_{262144};
    Bytes maxBody_{std::int64_t{64} << 20};
    Millis headerTimeout_{30000};
    Millis idleTimeout_{30000};
};

// Desired state of the routing, always replaced as a whole.
struct RoutingSpec {
    std::vector<Route> routes_;
    std::vector<RoutedService> services_;
    RequestLimits requestLimits_;
};

// State of one object. The index of an alternative is stored and sent.
using ObjectSpec = std::variant<ServiceSpec, MeasurementBudgetSpec, DrainSpec, QuarantineSpec, RoutingSpec>;

// Complete state of one object, and the number of the ticket that set it.
struct TicketObject {
    // Name within the kind: a service, "measuring", an instance or a fingerprint.
    std::string name_;
    TicketNumber number_;
    ObjectSpec spec_;
};

// A numbered change of the configuration.
struct Ticket {
    TicketNumber number_;
    // Random value of the submitter. After a lost response it distinguishes the submitter's ticket from another one with the same number.
    std::string submission_;
    std::string author_;
    std::string reason_;
    std::vector<TicketObject> objects_;
};

// Requests from a peer every object that tickets after the given one have set.
struct TicketPull {
    TicketNumber after_;
};

// Active objects of the sender.
struct TicketBatch {
    // Objects set by this ticket or an earlier one are left out.
    TicketNumber after_;
    // The sender knows all tickets up to this one.
    TicketNumber highestTicket_;
    // True when the sender knows that its configuration is current and serves.
    bool isCurrent_ = false;
    std::vector<TicketObject> objects_;
};

} // namespace radishford
