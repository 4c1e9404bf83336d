// In-memory buffer of the most recent trace spans.
#pragma once

#include "world/effect_type.h"

#include <cstddef>
#include <deque>
#include <string>

namespace radishford {

// Keeps a bounded number of spans; the oldest are discarded first.
class SpanBuffer
{
public:
    // Adds a span, and discards the oldest one when the buffer is full.
    void add(const RecordSpan &span);

    // Encodes the spans of one trace in the OTLP JSON form, or all spans when the trace id is empty.
    [[nodiscard]] std::string toOtlp(const std::string &trace, const std::string &instance) const;

private:
    // Oldest first.
    std::deque<RecordSpan> spans_;
};

// Formats a value as sixteen lower-case hexadecimal digits.
std::string toHex(std::uint64_t value);

} // namespace radishford
