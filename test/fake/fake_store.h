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
    bool losesAnswers_ = false;
    // Reads return tickets up to this number only.
    std::uint64_t staleAfter_ = ~std::uint64_t{0};
    std::map<std::string, ClaimValue> claims_;
    std::map<std::uint64_t, Ticket> tickets_;
    // The desired state, the revision of its latest change, and the list of daemons.
    std::vector<TicketObject> routing_;
    StoreRevision routingAt_;
    std::vector<MemberRow> members_;
    // Revision of the latest change of any row.
    StoreRevision revision_;
    // History before this revision is compacted.
    StoreRevision historyFrom_;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;

    // Runs an operation. The response is not ok when a fault is set.
    StoreAnswer run(const StoreOperation &operation)
    {
        if (down_) {
            return {};
        }
        StoreAnswer answer = std::visit([this](const auto &body) { return apply(body); }, operation);
        answer.ok_ = !losesAnswers_;
        return answer.ok_ ? answer : StoreAnswer{};
    }

    StoreAnswer apply(const ClaimInsertBatch &batch)
    {
        ++writes_;
        StoreAnswer answer;
        for (const ClaimInsert &claim : batch.claims_) {
            const auto [row, added] = claims_.emplace(claim.key_, claim.value_);
            answer.claims_.push_back(ClaimResult{added, row->second});
        }
        return answer;
    }

    StoreAnswer apply(const ClaimReplace &replace)
    {
        ++writes_;
        const auto row = claims_.find(replace.key_);
        const bool done = row != claims_.end() && row->second == replace.expected_;
        if (done) {
            row->second = replace.value_;
        }
        StoreAnswer answer;
        answer.claims_ = {ClaimResult{done, row == claims_.end() ? ClaimValue{} : row->second}};
        return answer;
    }

    StoreAnswer apply(const ClaimDelete &removal)
    {
        ++writes_;
        const auto row = claims_.find(removal.key_);
        const bool done = row != claims_.end() && row->second == removal.expected_;
        if (done) {
            claims_.erase(row);
        }
        StoreAnswer answer;
        answer.claims_ = {ClaimResult{done, {}}};
        return answer;
    }

    // Replaces the desired state, as operators do.
    void putRouting(const TicketObject &object)
    {
        routing_ = {object};
        revision_ = StoreRevision(revision_.value() + 1);
        routingAt_ = revision_;
    }

    StoreAnswer apply(const RoutingRead & /*read*/)
    {
        ++reads_;
        StoreAnswer answer;
        answer.routing_ = routing_;
        answer.revision_ = revision_;
        return answer;
    }

    StoreAnswer apply(const RoutingWatch &watch)
    {
        ++reads_;
        StoreAnswer answer;
        answer.historyGone_ = watch.after_ < historyFrom_;
        answer.revision_ = revision_;
        if (!answer.historyGone_ && routingAt_ > watch.after_) {
            answer.routing_ = routing_;
        }
        return answer;
    }

    StoreAnswer apply(const MemberPut &put)
    {
        ++writes_;
        std::erase_if(members_, [&](const MemberRow &row) { return row.name_ == put.row_.name_; });
        members_.push_back(put.row_);
        return {};
    }

    StoreAnswer apply(const MemberList & /*list*/)
    {
        ++reads_;
        StoreAnswer answer;
        answer.members_ = members_;
        return answer;
    }

    // Returns true when a watch can be responded to immediately.
    [[nodiscard]] bool hasNews(const RoutingWatch &watch) const
    {
        return down_ || watch.after_ < historyFrom_ || routingAt_ > watch.after_;
    }

    StoreAnswer apply(const TicketInsert &insert)
    {
        ++writes_;
        const auto [row, added] = tickets_.emplace(insert.ticket_.number_.value(), insert.ticket_);
        StoreAnswer answer;
        answer.inserted_ = added;
        answer.tickets_ = added ? std::vector<Ticket>() : std::vector<Ticket>{row->second};
        return answer;
    }

    StoreAnswer apply(const TicketVerify &verify)
    {
        ++writes_;
        const auto row = tickets_.find(verify.number_.value());
        StoreAnswer answer;
        answer.tickets_ = row == tickets_.end() ? std::vector<Ticket>() : std::vector<Ticket>{row->second};
        return answer;
    }

    StoreAnswer apply(const TicketRead &read)
    {
        ++reads_;
        StoreAnswer answer;
        for (auto row = tickets_.lower_bound(read.from_.value()); row != tickets_.end() && row->first <= staleAfter_; ++row) {
            answer.tickets_.push_back(row->second);
        }
        return answer;
    }
};

} // namespace radishford
