// Units and ids that several modules use.
#pragma once

#include "core/strong_type.h"

#include <cstdint>
#include <string>

namespace radishford {

// Number of bytes.
using Bytes = Quantity<struct BytesTag, std::int64_t>;

// Number of requests that a backend server runs at the same time.
using Slots = Quantity<struct SlotsTag, std::int32_t>;

// Requests per second.
using RequestRate = StrongType<struct RequestRateTag, double>;

// A share in thousandths.
using Permille = Quantity<struct PermilleTag, std::int32_t>;

// Name of an instance, unique in the fleet.
using InstanceName = StrongType<struct InstanceNameTag, std::string>;

// Name of a service, as declared by operators.
using ServiceName = StrongType<struct ServiceNameTag, std::string>;

// Id that a backend server sets anew at each start.
using BackendId = StrongType<struct BackendIdTag, std::string>;

// Name of a request class within its service.
using ClassName = StrongType<struct ClassNameTag, std::string>;

// A share or factor in hundredths.
using Percent = StrongType<struct PercentTag, std::int32_t>;

// Index of a failure domain in the settings' list of places.
using FailureDomainId = StrongType<struct FailureDomainIdTag, std::uint8_t>;

// Id of a region: the index of its first place in the settings' list of places.
using RegionId = StrongType<struct RegionIdTag, std::uint8_t>;

// Number of a process start: milliseconds since the Unix epoch. Later processes of one instance have higher numbers.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;

// Number of a change ticket. Zero means no ticket.
using TicketNumber = StrongType<struct TicketNumberTag, std::uint64_t>;

// Revision of the platform's store; increases with each change.
using StoreRevision = StrongType<struct StoreRevisionTag, std::uint64_t>;

// Hash of a request's caller, method, target and body.
using Fingerprint = StrongType<struct FingerprintTag, std::uint64_t>;
// Hash of one start of a backend server, by which messages name it; zero names none.
using BackendStartHash = StrongType<struct BackendStartHashTag, std::uint64_t>;

// Id of a trace across all hops.
using TraceId = StrongType<struct TraceIdTag, std::string>;

// Id of a span within a trace.
using SpanId = StrongType<struct SpanIdTag, std::uint64_t>;

} // namespace radishford
