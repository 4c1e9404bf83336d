// Hand-written fake of the platform's store.
#pragma once

#include "core/clock_type.h"
#include "store/store_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace radishford {

// Holds claims, tickets, the desired state and the list of daemons, and injects the faults that a test sets.
struct FakeStore {
    // Requests fail before they take effect.
    bool down_ = false;
    // Requests take effect, but their responses are lost.
    bool losesResponses_ = false;
    // Reads return tickets up to this number only.
    std::uint64_t lastReadableTicket_ = ~std::uint64_t{0};
    std::map<std::string, ClaimValue> claims_;
    std::map<std::uint64_t, Ticket> tickets_;
    // The desired state, the revision of its latest change, and the list of daemons.
    std::vector<TicketObject> routing_;
    StoreRevision routingRevision_;
    std::vector<MemberRow> members_;
    // Requests in quarantine.
    std::map<Fingerprint, SuspectRecord> quarantines_;
    // Most rows of the list of daemons in one response.
    std::size_t maxMemberRows_ = 500;
    // Revision of the latest change of any row.
    StoreRevision revision_;
    // History before this revision is compacted.
    StoreRevision oldestRevision_;
    // Rises with each restore from an older copy.
    StoreEra era_{1};
    std::uint64_t readCount_ = 0;
    std::uint64_t writeCount_ = 0;

    // Runs an operation. The response is not ok when a fault is set.
    StoreResponse run(const StoreOperation &operation)
    {
        if (down_) {
            return {};
        }
        StoreResponse response = std::visit([this](const auto &body) { return apply(body); }, operation);
        response.ok_ = !losesResponses_;
        response.era_ = era_;
        return response.ok_ ? response : StoreResponse{};
    }

    // Replaces all rows and the revision by those of an older copy. What was written since is lost, and its revisions are given out again.
    void restoreFrom(const FakeStore &copy)
    {
        claims_ = copy.claims_;
        tickets_ = copy.tickets_;
        routing_ = copy.routing_;
        routingRevision_ = copy.routingRevision_;
        members_ = copy.members_;
        quarantines_ = copy.quarantines_;
        revision_ = copy.revision_;
        era_ = StoreEra(era_.value() + 1);
    }

    // Changes rows of other clients, which only advances the revision.
    void writeOtherRows(std::uint64_t count)
    {
        revision_ = StoreRevision(revision_.value() + count);
    }

    StoreResponse apply(const ClaimInsertBatch &batch)
    {
        ++writeCount_;
        StoreResponse response;
        for (const ClaimInsert &claim : batch.claims_) {
            const auto [row, added] = claims_.emplace(claim.key_, claim.value_);
            response.claims_.push_back(ClaimResult{added, row->second});
        }
        return response;
    }

    StoreResponse apply(const ClaimReplace &replace)
    {
        ++writeCount_;
        const auto row = claims_.find(replace.key_);
        const bool done = row != claims_.end() && row->second == replace.expected_;
        if (done) {
            row->second = replace.value_;
        }
        StoreResponse response;
        response.claims_ = {ClaimResult{done, row == claims_.end() ? ClaimValue{} : row->second}};
        return response;
    }

    StoreResponse apply(const ClaimDelete &removal)
    {
        ++writeCount_;
        const auto row = claims_.find(removal.key_);
        const bool done = row != claims_.end() && row->second == removal.expected_;
        if (done) {
            claims_.erase(row);
        }
        StoreResponse response;
        response.claims_ = {ClaimResult{done, {}}};
        return response;
    }

    // Replaces the desired state, as operators do.
    void putRouting(const TicketObject &object)
    {
        routing_ = {object};
        revision_ = StoreRevision(revision_.value() + 1);
        routingRevision_ = revision_;
    }

    StoreResponse apply(const RoutingRead & /*read*/)
    {
        ++readCount_;
        StoreResponse response;
        response.routing_ = routing_;
        response.revision_ = revision_;
        return response;
    }

    StoreResponse apply(const RoutingWatch &watch)
    {
        ++readCount_;
        StoreResponse response;
        response.isHistoryCompacted_ = !hasHistoryFrom(watch.after_);
        response.revision_ = revision_;
        if (!response.isHistoryCompacted_ && routingRevision_ > watch.after_) {
            response.routing_ = routing_;
        }
        return response;
    }

    StoreResponse apply(const MemberPut &put)
    {
        ++writeCount_;
        writeOtherRows(1);
        std::erase_if(members_, [&](const MemberRow &row) { return row.name_ == put.row_.name_; });
        MemberRow row = put.row_;
        row.revision_ = revision_;
        members_.push_back(row);
        return {};
    }

    StoreResponse apply(const QuarantinePut &put)
    {
        ++writeCount_;
        writeOtherRows(1);
        quarantines_[put.record_.fingerprint_] = put.record_;
        return {};
    }

    StoreResponse apply(const QuarantineDelete &removal)
    {
        ++writeCount_;
        writeOtherRows(1);
        quarantines_.erase(removal.fingerprint_);
        return {};
    }

    StoreResponse apply(const MemberList &list)
    {
        ++readCount_;
        StoreResponse response;
        for (const auto &[fingerprint, record] : quarantines_) {
            response.quarantines_.push_back(record);
        }
        std::copy_if(members_.begin(), members_.end(), std::back_inserter(response.members_), [&](const MemberRow &row) { return row.name_ >= list.from_; });
        std::sort(response.members_.begin(), response.members_.end(),
                  [](const MemberRow &first, const MemberRow &second) { return first.name_ < second.name_; });
        if (response.members_.size() > maxMemberRows_) {
            response.members_.resize(maxMemberRows_);
            response.moreMembersFrom_ = response.members_.back().name_;
        }
        return response;
    }

    // Returns true when a watch can be responded to immediately.
    [[nodiscard]] bool canRespondNow(const RoutingWatch &watch) const
    {
        return down_ || !hasHistoryFrom(watch.after_) || routingRevision_ > watch.after_;
    }

    // Returns true when the history from this revision on is known.
    [[nodiscard]] bool hasHistoryFrom(StoreRevision revision) const
    {
        return revision >= oldestRevision_ && revision <= revision_;
    }

    StoreResponse apply(const TicketInsert &insert)
    {
        ++writeCount_;
        const auto [row, added] = tickets_.emplace(insert.ticket_.number_.value(), insert.ticket_);
        StoreResponse response;
        response.wasInserted_ = added;
        response.tickets_ = added ? std::vector<Ticket>() : std::vector<Ticket>{row->second};
        return response;
    }

    StoreResponse apply(const TicketVerify &verify)
    {
        ++writeCount_;
        const auto row = tickets_.find(verify.number_.value());
        StoreResponse response;
        response.tickets_ = row == tickets_.end() ? std::vector<Ticket>() : std::vector<Ticket>{row->second};
        return response;
    }

    StoreResponse apply(const TicketRead &read)
    {
        ++readCount_;
        StoreResponse response;
        for (auto row = tickets_.lower_bound(read.from_.value()); row != tickets_.end() && row->first <= lastReadableTicket_; ++row) {
            response.tickets_.push_back(row->second);
        }
        return response;
    }
};

} // namespace radishford
