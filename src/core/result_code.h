// Numbered results that callers, operators and logs see.
#pragma once

#include <cstdint>
#include <string_view>

namespace radishford {

// What a caller may conclude about its request.
enum class Outcome : std::uint8_t {
    Answered, // The backend server's own whole answer was passed on.
    NotRun, // No backend server ran the request, and none will.
    Unknown, // A backend server may have run the request.
    Config, // Not about a call: settings, tickets, messages and commands.
};

// Every numbered result. The table in table/result_codes.h gives texts and HTTP statuses; docs/RESULT-CODES.md is checked against it.
enum class ResultCode : std::uint16_t {
    Ok = 0, // Done.
    UnknownService = 1001, // No ticket in force declares the service.
    NoBackend = 1002, // No backend server of the service is known to be ready.
    NotReady = 1003, // The daemon does not yet know the configuration in force.
    DaemonLeaving = 1004, // The daemon is shutting down.
    Overloaded = 1005, // Slots and queue are full.
    BackendDraining = 1006, // The backend server is leaving.
    BackendNotReady = 1007, // The backend server is not announced as ready.
    DeadlineNotRun = 1008, // The deadline passed before the request was handed over.
    Quarantined = 1009, // The request was running at two backend server failures.
    StoreDown = 1010, // The idempotency key could not be claimed.
    KeyRequired = 1011, // The class demands an Idempotency-Key header.
    BodyTooLarge = 1012, // The body exceeds what the class or the daemon accepts.
    BodyBroken = 1013, // The caller's body ended early.
    RetryBudgetSpent = 1014, // A further attempt was not allowed.
    TooManyCalls = 1015, // The daemon's tables or connections are full.
    BadRequest = 1016, // The request could not be read as HTTP.
    Withdrawn = 1017, // The caller left or another attempt won before hand-over.
    BackendUnreachable = 1018, // No connection to the backend server could be opened.
    KeyMismatch = 1019, // The idempotency key was used before with another request.
    PeerUnreachable = 1020, // The daemon beside the backend server could not be reached.
    BackendRefused = 1021, // The backend server said that it did not run the request.
    WrongInstance = 1022, // Another backend server has the address.
    NoRoute = 1023, // No route of the desired state takes the request.
    NoRoom = 1024, // No backend server can answer in time.
    AnswerLost = 2001, // The connection broke after hand-over.
    DeadlineUnknown = 2002, // The deadline passed after hand-over.
    KeyTaken = 2003, // The idempotency key was claimed by an earlier request.
    PeerSilent = 2004, // A withdrawal was not confirmed.
    BackendFailed = 2005, // The backend server broke the connection while it ran the request.
    AnswerSpoiled = 2006, // The backend server's answer was not the request's own whole answer.
    BadAddress = 3001, // Not an IPv4 address and port.
    UnknownKey = 3002, // A setting or ticket field that does not exist.
    WrongType = 3003, // A field of the wrong JSON type.
    OutOfRange = 3004, // A number outside its limits.
    MissingKey = 3005, // A required field is absent.
    DuplicateAddress = 3006, // Two roles share one address.
    UnknownFailureDomain = 3007, // A failure domain that the places do not list.
    BadJson = 3008, // Not JSON.
    DuplicateName = 3009, // Two entries share one name.
    UnreadableFile = 3010, // The file cannot be read.
    TicketConflict = 4001, // Another ticket has this number.
    TicketUnknown = 4002, // The store did not answer; the ticket may have been accepted.
    TicketStoreDown = 4003, // The store refused the ticket; it was not accepted.
    TicketNotNext = 4004, // The number does not follow the highest one in force.
    TicketMissing = 4005, // No such ticket.
    MessageMalformed = 5001, // A message between daemons could not be decoded.
    MessageOversized = 5002, // A message between daemons exceeds its limit.
    MessageStalled = 5003, // A message did not arrive whole in time.
    AnnounceMalformed = 5004, // An announcement could not be read.
    AdminUnknown = 5005, // No such admin page.
    DaemonUnreachable = 5006, // The daemon's admin address did not answer.
};

// One line of the table of results.
struct ResultCodeInfo {
    // The code described.
    ResultCode code_;
    // What a caller may conclude.
    Outcome outcome_;
    // HTTP status that carries the code.
    std::uint16_t httpStatus_;
    // The code's name.
    std::string_view name_;
    // Explanation for people.
    std::string_view text_;
};

// The table line of a code. Unknown numbers give the line of BadRequest.
const ResultCodeInfo &infoOf(ResultCode code);

// The number of a code.
constexpr std::uint16_t numberOf(ResultCode code)
{
    return static_cast<std::uint16_t>(code);
}

// "answered", "not-run", "unknown" or "config".
std::string_view toText(Outcome outcome);

// True when the code proves that no backend server ran the request.
bool provesNotRun(ResultCode code);

} // namespace radishford
