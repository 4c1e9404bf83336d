// Units and names that several modules share.
#pragma once

#include "core/strong_type.h"

#include <cstdint>
#include <string>

namespace radishford {

// A count of bytes.
using Bytes = Quantity<struct BytesTag, std::int64_t>;

// A count of requests that a backend server runs at the same time.
using Slots = Quantity<struct SlotsTag, std::int32_t>;

// Thousandths of a whole.
using Permille = Quantity<struct PermilleTag, std::int32_t>;

// Name of an instance, unique in the fleet.
using InstanceName = StrongType<struct InstanceNameTag, std::string>;

// Name of a service, as operators declare it.
using ServiceName = StrongType<struct ServiceNameTag, std::string>;

// Id by which a backend server names one start of itself.
using BackendId = StrongType<struct BackendIdTag, std::string>;

// Name of a request class within its service.
using ClassName = StrongType<struct ClassNameTag, std::string>;

// A share or factor in hundredths.
using Percent = StrongType<struct PercentTag, std::int32_t>;

// Index of a failure domain in the settings' list of places.
using FailureDomainId = StrongType<struct FailureDomainIdTag, std::uint8_t>;

// Index of a region in the settings' list of places.
using RegionId = StrongType<struct RegionIdTag, std::uint8_t>;

// Start number of a process: later processes of one instance have higher ones. Milliseconds since the Unix epoch.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;

// Number of a change ticket. Zero stands for no ticket.
using TicketNumber = StrongType<struct TicketNumberTag, std::uint64_t>;

// Position in the history of the platform's store.
using StoreRevision = StrongType<struct StoreRevisionTag, std::uint64_t>;

// Hash of a request's method, target and body.
using Fingerprint = StrongType<struct FingerprintTag, std::uint64_t>;

// Identifies one trace across all hops.
using TraceId = StrongType<struct TraceIdTag, std::string>;

// Identifies one span within a trace.
using SpanId = StrongType<struct SpanIdTag, std::uint64_t>;

} // namespace radishford
