// Reads and writes the W3C trace context.
#pragma once

#include "core/units_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace radishford {

// Trace and parent span of a request.
struct TraceContext {
    TraceId trace_;
    SpanId parent_;
};

// Reads a traceparent field. For a malformed or missing one, starts a new trace whose id consists of the two random numbers.
TraceContext readTraceParent(std::string_view field, std::uint64_t high, std::uint64_t low);

// Formats a traceparent field with the sampled flag set.
std::string writeTraceParent(const TraceId &trace, SpanId span);

} // namespace radishford
