// In-memory buffer of the most recent trace spans.
#include "net/span_buffer.h"

#include <boost/json.hpp>

#include <chrono>

namespace radishford {

namespace json = boost::json;

namespace {

// Maximum number of spans in the buffer.
constexpr std::size_t MaxSpans = 4096;
constexpr std::int64_t NanosPerMicro = 1000;

// Encodes an attribute in the OTLP JSON form.
json::value attribute(const char *key, const std::string &value)
{
    return json::object{{"key", key}, {"value", json::object{{"stringValue", value}}}};
}

// Converts a time of the process's clock to nanoseconds since the Unix epoch.
std::string unixNanos(Millis timePoint)
{
    using std::chrono::duration_cast;
    using std::chrono::nanoseconds;
    const auto wallNanos = duration_cast<nanoseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    const auto steadyNanos = duration_cast<nanoseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    return std::to_string(timePoint.micros() * NanosPerMicro + (wallNanos - steadyNanos));
}

// Encodes one span in the OTLP JSON form.
json::value toJson(const RecordSpan &span)
{
    const ResultCodeInfo &info = resultCodeInfo(span.code_);
    json::object result{
        {"traceId", span.trace_.value()},
        {"spanId", toHex(span.span_.value())},
        {"name", span.name_},
        {"startTimeUnixNano", unixNanos(span.start_)},
        {"endTimeUnixNano", unixNanos(span.end_)},
        {"attributes",
         json::array{attribute("detail", span.detail_), attribute("code", std::to_string(numberOf(span.code_))), attribute("result", std::string(info.name_)),
                     attribute("outcome", std::string(toText(info.outcome_)))}},
    };
    if (span.parent_.value() != 0) {
        result["parentSpanId"] = toHex(span.parent_.value());
    }
    return result;
}

} // namespace

void SpanBuffer::add(const RecordSpan &span)
{
    spans_.push_back(span);
    if (spans_.size() > MaxSpans) {
        spans_.pop_front();
    }
}

std::string SpanBuffer::toOtlp(const std::string &trace, const std::string &instance) const
{
    json::array spans;
    for (const RecordSpan &span : spans_) {
        if (trace.empty() || span.trace_.value() == trace) {
            spans.push_back(toJson(span));
        }
    }
    const json::object resource{{"attributes", json::array{attribute("service.name", "radishfordd"), attribute("service.instance.id", instance)}}};
    const json::object scope{{"scope", json::object{{"name", "radishford"}}}, {"spans", spans}};
    const json::object entry{{"resource", resource}, {"scopeSpans", json::array{scope}}};
    return json::serialize(json::object{{"resourceSpans", json::array{entry}}});
}

std::string toHex(std::uint64_t value)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    constexpr int DigitCount = 16;
    constexpr unsigned DigitBits = 4;
    constexpr unsigned DigitMask = 15;
    std::string text(DigitCount, '0');
    for (int position = DigitCount - 1; position >= 0; --position) {
        text[static_cast<std::size_t>(position)] = Digits[value & DigitMask];
        value >>= DigitBits;
    }
    return text;
}

} // namespace radishford
