// Reads and writes the W3C trace context.
#include "net/trace_context.h"

#include "net/span_buffer.h"

#include <algorithm>
#include <charconv>

namespace radishford {

namespace {

// Layout of a traceparent field: version, trace, span and flags, separated by hyphens.
constexpr std::size_t FieldLength = 55;
constexpr std::size_t TraceStart = 3;
constexpr std::size_t TraceLength = 32;
constexpr std::size_t SpanStart = 36;
constexpr std::size_t SpanLength = 16;
constexpr int HexBase = 16;

// True for lower-case hexadecimal digits.
bool isHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

} // namespace

TraceContext readTraceParent(std::string_view field, std::uint64_t high, std::uint64_t low)
{
    TraceContext context;
    context.trace_ = TraceId(toHex(high) + toHex(low));
    if (field.size() != FieldLength) {
        return context;
    }
    const std::string_view trace = field.substr(TraceStart, TraceLength);
    const std::string_view span = field.substr(SpanStart, SpanLength);
    if (!isHex(trace) || !isHex(span)) {
        return context;
    }
    std::uint64_t parent = 0;
    std::from_chars(span.data(), span.data() + span.size(), parent, HexBase);
    context.trace_ = TraceId(std::string(trace));
    context.parent_ = SpanId(parent);
    return context;
}

std::string writeTraceParent(const TraceId &trace, SpanId span)
{
    return "00-" + trace.value() + "-" + toHex(span.value()) + "-01";
}

} // namespace radishford
