// Requests to the platform's store and its responses.
#pragma once

#include "call/suspect_type.h"
#include "core/clock_type.h"
#include "store/member_type.h"
#include "ticket/ticket_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace radishford {

// Number of the store's history. It rises each time the store is restored from an older copy, after which revisions are given out again.
using StoreEra = StrongType<struct StoreEraTag, std::uint64_t>;

// Value of an idempotency key's row.
struct ClaimValue {
    // Token of the call that claimed the key.
    std::string callToken_;
    // Admission that may hand the request over.
    std::string owner_;
    // Fingerprint of the request for which the key was claimed.
    Fingerprint fingerprint_;

    bool operator==(const ClaimValue &) const = default;
};

// Inserts a claim row if the key is free.
struct ClaimInsert {
    std::string key_;
    ClaimValue value_;
};

// Inserts several claims in one transaction. Each one succeeds or fails on its own.
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

// Reads all tickets with this number or a higher one.
struct TicketRead {
    TicketNumber from_;
};

// Checks within a write transaction whether a ticket exists, since plain reads may be stale. Changes nothing.
struct TicketVerify {
    TicketNumber number_;
};

// Reads the desired state of routing.
struct RoutingRead {
};

// Waits for a desired state that is newer than a revision of the store.
struct RoutingWatch {
    StoreRevision after_;
    // Maximum time that the store waits for a change before it responds.
    Millis maxWait_;
};

// Writes a daemon's row in the list of daemons.
struct MemberPut {
    MemberRow row_;
};

// Reads rows of the list of daemons, and of the requests in quarantine, which are kept beside it.
struct MemberList {
    // First name to read; empty for the start of the list.
    InstanceName from_{};
};

// Writes the row of a request in quarantine.
struct QuarantinePut {
    SuspectRecord record_;
};

// Deletes the row of a request whose quarantine has ended.
struct QuarantineDelete {
    Fingerprint fingerprint_;
};

// Any request to the store.
using StoreOperation = std::variant<ClaimInsertBatch, ClaimReplace, ClaimDelete, TicketInsert, TicketRead, TicketVerify, RoutingRead, RoutingWatch, MemberPut,
                                    MemberList, QuarantinePut, QuarantineDelete>;

// Result of writing one claim.
struct ClaimResult {
    // True when the write took effect.
    bool wasApplied_ = false;
    // The existing row that prevented the write.
    ClaimValue existingRow_;
};

// Response of the store. When ok_ is false the outcome is unknown: a write may have taken effect.
struct StoreResponse {
    bool ok_ = false;
    // Era of the store that sent the response; absent when there was no response or the store does not report one.
    std::optional<StoreEra> era_{};
    // One result for each claim of the request, in the same order.
    std::vector<ClaimResult> claims_;
    // Tickets read, or the existing ticket with the number of an insert.
    std::vector<Ticket> tickets_;
    // True when a ticket was inserted.
    bool wasInserted_ = false;
    // The desired state: for a read if there is one, for a watch if it has changed.
    std::vector<TicketObject> routing_;
    // Revision of the store to which the response refers.
    StoreRevision revision_;
    // True when the store no longer keeps its history from the requested revision on.
    bool isHistoryCompacted_ = false;
    // Rows of the list of daemons, in the order of their names.
    std::vector<MemberRow> members_;
    // Requests in quarantine that were read with the list of daemons.
    std::vector<SuspectRecord> quarantines_;
    // Name from which the list goes on when it does not fit into one response; empty after its last row.
    InstanceName moreMembersFrom_;
    // Errors of the rows that were left out because they cannot be decoded.
    std::vector<std::string> rowErrors_;
};

} // namespace radishford
