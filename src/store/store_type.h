// Requests to the platform's table service, and its answers.
#pragma once

#include "core/clock_type.h"
#include "store/member_type.h"
#include "ticket/ticket_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace radishford {

// Value of an idempotency key's row.
struct ClaimValue {
    // Call that claimed the key.
    std::string callToken_;
    // Attempt that may hand the request over.
    std::string owner_;
    // Request that the key stands for.
    Fingerprint fingerprint_;

    bool operator==(const ClaimValue &) const = default;
};

// Inserts a claim row if the key is free.
struct ClaimInsert {
    std::string key_;
    ClaimValue value_;
};

// Inserts several claims in one transaction; each succeeds or fails alone.
struct ClaimInsertBatch {
    std::vector<ClaimInsert> claims_;
};

// Replaces a claim row if it still has the expected value.
struct ClaimReplace {
    std::string key_;
    ClaimValue expected_;
    ClaimValue value_;
};

// Deletes a claim row if it still has the expected value.
struct ClaimDelete {
    std::string key_;
    ClaimValue expected_;
};

// Inserts a ticket if its number is free.
struct TicketInsert {
    Ticket ticket_;
};

// Reads tickets from a number on.
struct TicketRead {
    TicketNumber from_;
};

// Asks within a writing transaction whether a ticket exists, since plain reads may be stale. Changes nothing.
struct TicketVerify {
    TicketNumber number_;
};

// Reads the desired state of routing.
struct RoutingRead {
};

// Waits for a desired state that is newer than a position in the store's history.
struct RoutingWatch {
    StoreRevision after_;
    // How long the store may hold the answer back while nothing changes.
    Millis hold_;
};

// Writes a daemon's row in the list of daemons.
struct MemberPut {
    MemberRow row_;
};

// Reads all rows of the list of daemons.
struct MemberList {
};

// Any request.
using StoreOperation
    = std::variant<ClaimInsertBatch, ClaimReplace, ClaimDelete, TicketInsert, TicketRead, TicketVerify, RoutingRead, RoutingWatch, MemberPut, MemberList>;

// Row found in place of the one to be written.
struct ClaimResult {
    // True when the write took effect.
    bool done_ = false;
    // The row that prevented it.
    ClaimValue current_;
};

// Answer of the store. Without ok_ nothing is known: a write may have taken effect.
struct StoreAnswer {
    bool ok_ = false;
    // One for each claim written.
    std::vector<ClaimResult> claims_;
    // Tickets read, or the ticket that holds the number.
    std::vector<Ticket> tickets_;
    // True when a ticket was inserted.
    bool inserted_ = false;
    // The desired state, if there is one, or it changed.
    std::vector<TicketObject> routing_;
    // Position in the store's history at which the answer holds.
    StoreRevision revision_;
    // True when the history from the asked position on is no longer kept.
    bool historyGone_ = false;
    // The list of daemons.
    std::vector<MemberRow> members_;
};

} // namespace radishford
