// Effects: the actions that the world requests from the front end.
#pragma once

#include "call/call_type.h"
#include "call/exchange_type.h"
#include "call/unanswered_type.h"
#include "core/address.h"
#include "core/result_code.h"
#include "fleet/datagram_type.h"
#include "store/store_type.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace radishford {

// Open an exchange and send the offer, followed by the body when the offer says that it is inline.
struct StartExchange {
    AttemptId attempt_;
    CallHandle call_;
    Address peer_;
    Offer offer_;
    MessagePurpose purpose_ = MessagePurpose::Call;
};

// Send the confirmation, and the body unless it was sent inline with the offer.
struct SendConfirmation {
    AttemptId attempt_;
};

// Send a withdrawal of the offer.
struct SendWithdrawal {
    AttemptId attempt_;
};

// Abandon the exchange; messages of it that arrive later are dropped.
struct AbandonExchange {
    AttemptId attempt_;
};

// Relay the response of this attempt to the caller.
struct RelayResponse {
    CallHandle call_;
    AttemptId attempt_;
};

// Respond to the caller with a failure created by this daemon.
struct FailCall {
    CallHandle call_;
    ResultCode code_ = ResultCode::NoBackend;
    TraceId trace_;
    // Delay after which a retry by the caller is likely to succeed; zero when unknown.
    Millis retryAfter_;
};

// Close the caller's connection, because its response cannot be completed.
struct AbortCall {
    CallHandle call_;
    UnansweredReason reason_ = UnansweredReason::ResponseCut;
};

// Reply to an offer.
struct ReplyToOffer {
    ExchangeHandle exchange_;
    OfferReply reply_;
};

// Reply to a withdrawal; the exchange ends unless the request was handed over.
struct ReplyToWithdrawal {
    ExchangeHandle exchange_;
    WithdrawalReply reply_;
};

// Hand the request over to the backend server.
struct HandOver {
    ExchangeHandle exchange_;
    Address address_;
    // The backend server that must run the request. Any may when its id is empty.
    BackendStart backend_;
    // Time left for the response.
    Millis remaining_;
    // A pooled connection that has been idle for longer than this is not reused.
    Millis maxReuseIdleTime_;
};

// Check the health and load of the backend server over HTTP.
struct CheckBackendHealth {
    Address address_;
    // The start of the backend server that is announced for the address.
    BackendStart backend_;
    std::string path_;
    // Number of the check, which its result repeats.
    std::uint64_t number_ = 0;
};

// End an exchange without a response.
struct FailExchange {
    ExchangeHandle exchange_;
    ExchangeFailure reply_;
};

// End an exchange after its response, which carries the load report.
struct EndExchange {
    ExchangeHandle exchange_;
    LoadReport report_;
};

// End an exchange and cancel its request if it was handed over, because no caller waits for it any more.
struct CancelBackendRequest {
    ExchangeHandle exchange_;
};

// Send a datagram.
struct SendDatagram {
    Address to_;
    RegionId toRegion_;
    Datagram datagram_;
    MessagePurpose purpose_ = MessagePurpose::Membership;
};

// Request the active ticket objects from a peer.
struct SendTicketPull {
    Address to_;
    RegionId toRegion_;
    TicketPull pull_;
};

// Send active ticket objects to a peer.
struct SendTicketBatch {
    Address to_;
    RegionId toRegion_;
    TicketBatch batch_;
};

// Send a request to the store; the response carries the same request id.
struct SendStoreRequest {
    std::uint64_t request_ = 0;
    StoreOperation operation_;
};

// Reply to an operator's ticket submission.
struct ReplyToTicket {
    std::uint64_t handle_ = 0;
    ResultCode code_ = ResultCode::Ok;
    // Highest ticket that is active at this daemon.
    TicketNumber highest_;
    // On a conflict, the accepted ticket with the same number.
    std::vector<Ticket> conflictingTicket_;
};

// Write a log line about a change of state.
struct LogStateChange {
    std::string text_;
};

// Field of a decision's log line.
struct LogField {
    std::string_view name_;
    std::string value_;
};

// Write a log line about a decision on a request.
struct LogDecision {
    std::string_view event_;
    // Trace id of the request, which is the same on all daemons.
    TraceId request_;
    std::vector<LogField> fields_;
};

// Record a span of a trace that has ended.
struct RecordSpan {
    TraceId trace_;
    SpanId span_;
    SpanId parent_;
    std::string name_;
    // Target of the operation that the span measures.
    std::string detail_;
    Millis start_;
    Millis end_;
    ResultCode code_ = ResultCode::Ok;
};

// End the process: no request is in flight any more, or the maximum duration of the shutdown has passed.
struct Exit {
    // End of the shutdown's maximum duration. Until then, the front end may complete what it still reads and writes.
    Millis latestAt_;
};

// Any effect. Adding an alternative requires a handler in the front end.
using Effect = std::variant<StartExchange, SendConfirmation, SendWithdrawal, AbandonExchange, RelayResponse, FailCall, AbortCall, ReplyToOffer,
                            ReplyToWithdrawal, HandOver, FailExchange, EndExchange, CancelBackendRequest, CheckBackendHealth, SendDatagram, SendTicketPull,
                            SendTicketBatch, SendStoreRequest, ReplyToTicket, LogStateChange, LogDecision, RecordSpan, Exit>;

// Effects in the order in which they must be carried out.
using Outbox = std::vector<Effect>;

} // namespace radishford
