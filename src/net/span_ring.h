// The latest spans of traces, kept in memory.
#pragma once

#include "world/effect_type.h"

#include <cstddef>
#include <deque>
#include <string>

namespace radishford {

// Keeps a bounded number of spans.
class SpanRing
{
public:
    // Adds a span and forgets the oldest when there are too many.
    void add(const EndSpan &span);

    // Spans of one trace, or all when the trace is empty, in the OTLP JSON form.
    [[nodiscard]] std::string toOtlp(const std::string &trace, const std::string &instance) const;

private:
    // Oldest first.
    std::deque<EndSpan> spans_;
};

// An id of sixteen hexadecimal digits.
std::string toHex(std::uint64_t value);

} // namespace radishford
