// Events: what the front end reports to the world.
#pragma once

#include "call/call_type.h"
#include "call/exchange_type.h"
#include "call/unanswered_type.h"
#include "core/address.h"
#include "core/result_code.h"
#include "fleet/datagram_type.h"
#include "store/store_type.h"
#include "ticket/ticket_type.h"
#include "world/world_settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace radishford {

// A caller's request arrived; its head, and its body if that is buffered, has been read.
struct CallArrived {
    CallHandle handle_;
    ServiceName service_;
    ClassName class_;
    // Weighted services of the route; empty when service_ is set.
    std::vector<WeightedService> weightedServices_;
    // Policy of the route; unused when a ticket's request class defines the policy.
    CallPolicy policy_;
    // Size of the body, when its length is known.
    Bytes bodySize_;
    // True when the body is held in memory and can be sent again.
    bool isReplayable_ = false;
    // True when the body is small enough to be sent inline with an offer.
    bool canInlineBody_ = false;
    Fingerprint fingerprint_;
    // Service as which the request begins; empty when the deployment does not tell callers apart by service.
    ServiceName callerService_;
    std::string idempotencyKey_;
    // Timeout given by the caller, or zero for that of the request class.
    Millis timeout_;
    // Time from the header to this event, in which the body was read. It counts against the timeout.
    Millis bodyTime_{};
    // True when the local backend server made the call while it ran another request.
    bool isFromBackend_ = false;
    TraceId trace_;
    SpanId parentSpan_;
};

// A request was refused before it became a call.
struct RequestRefused {
    ResultCode code_ = ResultCode::BadRequest;
    // Empty when the trace headers had not been read.
    TraceId trace_;
};

// A caller's connection has ended, or is closed by the front end, before the response to a request was complete.
struct CallerDisconnected {
    CallHandle handle_;
    // Empty when the trace headers had not been read.
    TraceId trace_{};
    UnansweredReason reason_ = UnansweredReason::CallerClosed;
    // Position of the request on its connection, from 1. Higher numbers are requests of kept connections.
    std::uint64_t numberOnConnection_ = 0;
    // Bytes of the response that were written, without the framing of chunks.
    Bytes written_{};
};

// The body of a call that is passed on while it arrives is malformed or too large. The caller can still be told.
struct CallerBodyFailed {
    CallHandle handle_;
    ResultCode code_ = ResultCode::BodyBroken;
};

// The inbound side replied to an offer.
struct OfferReplied {
    AttemptId attempt_;
    OfferReply reply_;
};

// The inbound side replied to a withdrawal.
struct WithdrawalReplied {
    AttemptId attempt_;
    bool handedOver_ = false;
};

// The inbound side ended the exchange without a response.
struct AttemptFailed {
    AttemptId attempt_;
    ResultCode code_ = ResultCode::AnswerLost;
};

// A response arrived: the whole of it, or its head and as much of its body as is buffered.
struct ResponseStarted {
    AttemptId attempt_;
    bool isWhole_ = false;
    // The backend server, if it states in the response that it leaves; zero otherwise.
    BackendStartHash leavingBackend_{};
};

// The complete response arrived.
struct ResponseCompleted {
    AttemptId attempt_;
    LoadReport report_;
};

// The connection to the inbound side failed or could not be opened.
struct ExchangeConnectionLost {
    AttemptId attempt_;
    // True when the inbound side has not read the offer and will not: no byte of it was sent, or the connection ended in order before it.
    bool isUnsent_ = false;
};

// The inbound side received an offer.
struct OfferArrived {
    ExchangeHandle exchange_;
    Offer offer_;
};

// The outbound side confirmed that the request may be handed over.
struct ConfirmationArrived {
    ExchangeHandle exchange_;
};

// The complete body of the request arrived, or only the head when the body is streamed.
struct BodyArrived {
    ExchangeHandle exchange_;
};

// The outbound side withdrew its offer.
struct WithdrawalArrived {
    ExchangeHandle exchange_;
};

// The connection to the outbound side of the exchange was closed.
struct PeerDisconnected {
    ExchangeHandle exchange_;
};

// Load that a backend server reports about itself; all zero when it reports none.
struct BackendLoad {
    Slots running_;
    Slots waiting_;
    Slots slots_;
    // Current service time relative to the usual one; 100 = usual.
    Percent slowness_;
};

// What a backend server states about itself in the head of a response.
struct BackendNotice {
    // Requests per second that it takes from all daemons together; absent when it states no limit.
    std::optional<RequestRate> limit_;
    // False when the response states a limit that cannot be read, or may be a copy of an older one. The limit stays as it was then.
    bool isLimitKnown_ = true;
    // The quoted values of the limit, when it is not a single plain number; for the log.
    std::string unusualLimit_{};
    // True when the server leaves: it takes no new requests soon.
    bool isLeaving_ = false;
};

// The head of a response to a request or a health check arrived from the backend server, whatever becomes of the response.
struct BackendStated {
    // The start of the server that responded.
    BackendStart backend_;
    // When the request or the health check was sent, and when the head began to arrive.
    Millis askedAt_;
    Millis statedAt_;
    BackendNotice notice_;
};

// The complete response of the backend server was relayed.
struct BackendResponded {
    ExchangeHandle exchange_;
    // HTTP status of the response.
    std::uint16_t status_ = 0;
    // Load reported with the response.
    BackendLoad load_;
    Bytes bodySize_;
};

// Why a backend server gave no complete response.
enum class BackendFault : std::uint8_t {
    Unreachable, // The request was not sent, since no connection could be opened.
    NotSent, // The request was not sent, since the outbound side had ended the exchange or the deadline had passed.
    BodyIncomplete, // The request body ended early while it was streamed, and no complete response arrived.
    ConnectionClosed, // The connection ended before a response, or the body of a matching response was cut short or malformed.
    InvalidResponse, // The response was malformed or not verifiable as the response to the request, or stale responses arrived until the connection was given
                     // up.
    Refused, // The backend server reported that it did not run the request.
    WrongInstance, // Another backend server has the address, so the request was not run.
};

// The backend server gave no complete response.
struct BackendFailed {
    ExchangeHandle exchange_;
    BackendFault fault_ = BackendFault::ConnectionClosed;
    // Load reported with a refusal.
    BackendLoad load_;
    // Idle time of a reused connection that closed before any response; zero for a new connection.
    Millis connectionIdleTime_{};
};

// A health check of the backend server succeeded or failed.
struct BackendChecked {
    // Number of the check.
    std::uint64_t number_ = 0;
    // True when the backend server is healthy. One that leaves or is not healthy may respond all the same.
    bool ok_ = false;
    // Id of the backend server that responded.
    BackendId id_;
    BackendLoad load_;
};

// The backend server announced itself.
struct BackendAnnounced {
    ServiceName service_;
    Address address_;
    Slots slots_;
    BackendState state_ = BackendState::Ready;
    // Start number of the backend server. A new one means a restart: measurements are reset and the slot limit starts low.
    Incarnation incarnation_;
    // Id of this start; empty when the announcement has none.
    BackendId id_;
    // Sequence number within one start, which identifies announcements that arrive late; zero when the announcement has none.
    std::uint64_t sequence_ = 0;
};

// The backend server deregistered: it accepts no new work and will shut down.
struct BackendDeregistered {
    BackendId id_;
    // Start number of the backend server; zero when it is not named.
    Incarnation incarnation_;
};

// A datagram arrived from another daemon.
struct DatagramArrived {
    Address from_;
    Datagram datagram_;
};

// A peer sent active ticket objects, or the request for them failed.
struct TicketBatchArrived {
    Address from_;
    // False when the request failed; the batch is empty then.
    bool ok_ = false;
    TicketBatch batch_;
};

// The store responded, or the request failed or timed out.
struct StoreResponded {
    std::uint64_t request_ = 0;
    StoreResponse response_;
};

// An operator submitted a ticket.
struct TicketSubmitted {
    // Id of the operator's request in the front end, for the reply.
    std::uint64_t handle_ = 0;
    Ticket ticket_;
};

// The settings file has changed. The name and the addresses of the daemon itself stay as they were at the start.
struct SettingsChanged {
    WorldSettings settings_;
};

// Shutdown of the process was requested.
struct ShutdownRequested {
};

// Any event. The dispatch table in world/dispatch_system.cpp is indexed by alternative.
using Event = std::variant<CallArrived, RequestRefused, CallerDisconnected, CallerBodyFailed, OfferReplied, WithdrawalReplied, AttemptFailed, ResponseStarted,
                           ResponseCompleted, ExchangeConnectionLost, OfferArrived, ConfirmationArrived, BodyArrived, WithdrawalArrived, PeerDisconnected,
                           BackendStated, BackendResponded, BackendFailed, BackendChecked, BackendAnnounced, BackendDeregistered, DatagramArrived,
                           TicketBatchArrived, StoreResponded, TicketSubmitted, SettingsChanged, ShutdownRequested>;

// Events in order of arrival.
using Inbox = std::vector<Event>;

} // namespace radishford
