// Frames on TCP connections between daemons.
#pragma once

#include "call/exchange_type.h"
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

// Head of a caller's request. Body frames follow.
struct RequestHead {
    std::uint64_t attempt_ = 0;
    std::string method_;
    std::string target_;
    std::vector<HeaderField> fields_;
    // True when the body's length is known beforehand.
    bool hasLength_ = false;
    std::uint64_t length_ = 0;
};

// Head of a backend server's answer. Body frames follow.
struct AnswerHead {
    std::uint64_t attempt_ = 0;
    std::uint16_t status_ = 0;
    std::vector<HeaderField> fields_;
    // True when the body's length is known beforehand.
    bool hasLength_ = false;
    std::uint64_t length_ = 0;
};

// Part of a request's or an answer's body.
struct BodyChunk {
    std::uint64_t attempt_ = 0;
    std::string bytes_;
};

// End of a request's body.
struct BodyEnd {
    std::uint64_t attempt_ = 0;
    // Body bytes sent.
    std::uint64_t bodyBytes_ = 0;
};

// Any frame.
using Frame = std::variant<Offer, OfferReply, Go, Withdraw, Withdrawn, Failed, RequestHead, AnswerHead, BodyChunk, BodyEnd, AnswerEnd, TicketPull, TicketBatch>;

} // namespace radishford
