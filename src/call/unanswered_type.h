// Why a caller gets no complete response.
#pragma once

#include <cstdint>

namespace radishford {

// Why a caller's connection ends while a request on it has no complete response. table/unanswered_reasons.h lists the names.
enum class UnansweredReason : std::uint8_t {
    CallerClosed, // The caller closed its connection. One on another machine may have closed only its sending side.
    CallerReset, // The caller reset its connection, or acknowledged nothing for too long.
    HeadIncomplete, // The head of the request ended early or did not arrive in time. It did not become a call.
    BodyIncomplete, // The body ended early, stalled or grew too large while it was passed on.
    ResponseNotTaken, // A write to the caller failed, or the caller did not read for too long.
    ResponseCut, // The rest of a response that was being relayed is lost.
    RelayOverdue, // The time limit of a call passed while its response was being relayed.
    ShutdownOverdue, // The daemon had to exit while a response was being relayed.
    ConnectionEnding, // The response to an earlier request of the connection was the last one.
    Count, // Number of reasons.
};

} // namespace radishford
