// Frames of the TCP connections between daemons.
#pragma once

#include "call/exchange_type.h"
#include "fleet/instance_type.h"
#include "ticket/ticket_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace radishford {

// One HTTP header field.
struct HeaderField {
    std::string name_;
    std::string value_;
};

// Head of a caller's request. Frames with the body follow.
struct RequestHead {
    std::uint64_t attempt_ = 0;
    std::string method_;
    std::string target_;
    std::vector<HeaderField> fields_;
    // True when the length of the body is known before it is sent.
    bool hasLength_ = false;
    std::uint64_t length_ = 0;
};

// Head of a backend server's response. Frames with the body follow.
struct ResponseHead {
    std::uint64_t attempt_ = 0;
    std::uint16_t status_ = 0;
    std::vector<HeaderField> fields_;
    // True when the length of the body is known before it is sent.
    bool hasLength_ = false;
    std::uint64_t length_ = 0;
    // The backend server, if it states in the response that it leaves; zero otherwise.
    BackendStartHash leavingBackend_{};
};

// Part of the body of a request or response.
struct BodyChunk {
    std::uint64_t attempt_ = 0;
    std::string bytes_;
};

// End of a request's body.
struct BodyEnd {
    std::uint64_t attempt_ = 0;
    // Number of body bytes sent. The inbound side compares it to the number of bytes received.
    std::uint64_t bodyBytes_ = 0;
};

// Last frame of an inbound side that shuts down. It reads no further frame on the connection: an offer without a reply was not run and will not be.
struct ConnectionEnd {
};

// Any frame. The index of the alternative is the type on the wire, so their order must not change.
using Frame = std::variant<Offer, OfferReply, Confirmation, WithdrawalRequest, WithdrawalReply, ExchangeFailure, RequestHead, ResponseHead, BodyChunk, BodyEnd,
                           ResponseEnd, TicketPull, TicketBatch, ConnectionEnd>;

} // namespace radishford
