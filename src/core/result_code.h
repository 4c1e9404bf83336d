// Result codes that are shown to callers and operators and written to logs.
#pragma once

#include <cstdint>
#include <string_view>

namespace radishford {

// What a caller may conclude from a result code about its request.
enum class Outcome : std::uint8_t {
    Answered, // The backend server's complete response was forwarded.
    NotRun, // No backend server ran the request, and none will.
    Unknown, // A backend server may have run the request.
    Config, // Not about a call: settings, tickets, messages and commands.
};

// All result codes. Their texts and HTTP statuses are in table/result_codes.h; docs/RESULT-CODES.md is checked against that table.
enum class ResultCode : std::uint16_t {
    Ok = 0, // The operation succeeded.
    UnknownService = 1001, // No active ticket declares the service.
    NoBackend = 1002, // No backend server of the service is known to be ready.
    NotReady = 1003, // The daemon does not yet know the active configuration.
    DaemonLeaving = 1004, // The daemon is shutting down.
    Overloaded = 1005, // All slots and the queue of the backend server are full.
    BackendDraining = 1006, // The backend server is draining.
    BackendNotReady = 1007, // The backend server is not announced as ready.
    DeadlineNotRun = 1008, // The deadline passed before the request was handed over.
    Quarantined = 1009, // The request was running at two backend server failures.
    StoreDown = 1010, // The idempotency key could not be claimed.
    KeyRequired = 1011, // The request class requires an Idempotency-Key header.
    BodyTooLarge = 1012, // The body exceeds what the class or the daemon accepts.
    BodyBroken = 1013, // The caller's request body ended early.
    RetryBudgetSpent = 1014, // The retry budget allows no further attempt.
    TooManyCalls = 1015, // The daemon's tables or connections are full.
    BadRequest = 1016, // The request could not be parsed as HTTP.
    Withdrawn = 1017, // The caller disconnected, or another attempt was handed over first.
    BackendUnreachable = 1018, // No connection to the backend server could be opened.
    KeyMismatch = 1019, // The idempotency key was used before with another request.
    PeerUnreachable = 1020, // The daemon of the backend server could not be reached.
    BackendRefused = 1021, // The backend server reported that it did not run the request.
    WrongInstance = 1022, // The address belongs to another instance now.
    NoRoute = 1023, // No route of the desired state matches the request.
    NoRoom = 1024, // No backend server has capacity to respond in time.
    BackendLimited = 1025, // The request limit of the backend server is used up.
    AnswerLost = 2001, // The connection broke after hand-over.
    DeadlineUnknown = 2002, // The deadline passed after hand-over.
    KeyTaken = 2003, // The idempotency key was claimed by an earlier request.
    PeerSilent = 2004, // A withdrawal was not confirmed.
    BackendFailed = 2005, // The backend server broke the connection while it ran the request.
    AnswerSpoiled = 2006, // The backend server's response was incomplete or belongs to another request.
    BadAddress = 3001, // Not an IPv4 address and port.
    UnknownKey = 3002, // A setting or ticket field that does not exist.
    WrongType = 3003, // A field of the wrong JSON type.
    OutOfRange = 3004, // A number outside its limits.
    MissingKey = 3005, // A required field is absent.
    DuplicateAddress = 3006, // Two roles have the same address.
    UnknownFailureDomain = 3007, // The failure domain is not in the list of places.
    BadJson = 3008, // Not JSON.
    DuplicateName = 3009, // Two entries have the same name.
    UnreadableFile = 3010, // The file cannot be read.
    TicketConflict = 4001, // Another ticket has this number.
    TicketUnknown = 4002, // The store did not respond; the ticket may have been accepted.
    TicketStoreDown = 4003, // The store refused the ticket; it was not accepted.
    TicketNotNext = 4004, // The number does not follow the highest active one.
    TicketMissing = 4005, // No such ticket.
    MessageMalformed = 5001, // A message between daemons could not be decoded.
    MessageOversized = 5002, // A message between daemons exceeds its limit.
    MessageStalled = 5003, // A message did not arrive completely in time.
    AnnounceMalformed = 5004, // An announcement could not be parsed.
    AdminUnknown = 5005, // The admin page does not exist.
    DaemonUnreachable = 5006, // The daemon's admin address did not respond.
};

// Row of the result code table.
struct ResultCodeInfo {
    // The result code.
    ResultCode code_;
    // What a caller may conclude.
    Outcome outcome_;
    // HTTP status of a response with the code.
    std::uint16_t httpStatus_;
    // Name, the same as the enum value.
    std::string_view name_;
    // Explanation for operators and callers.
    std::string_view text_;
};

// Returns the table row of a code. Unknown numbers give the row of BadRequest.
const ResultCodeInfo &resultCodeInfo(ResultCode code);

// Returns the number of a code, as shown to callers.
constexpr std::uint16_t numberOf(ResultCode code)
{
    return static_cast<std::uint16_t>(code);
}

// Returns "answered", "not-run", "unknown" or "config".
std::string_view toText(Outcome outcome);

// Returns true when the code guarantees that no backend server ran the request.
bool provesNotRun(ResultCode code);

} // namespace radishford
