// Hand-written fake of the platform's table service.
#pragma once

#include "core/clock_type.h"
#include "store/store_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace radishford {

// Holds claims and tickets, and misbehaves as told.
struct FakeStore {
    // Requests fail before they take effect.
    bool down_ = false;
    // Requests take effect, but their answers do not come.
    bool losesAnswers_ = false;
    // Reads show tickets up to this number only.
    std::uint64_t staleAfter_ = ~std::uint64_t{0};
    std::map<std::string, ClaimValue> claims_;
    std::map<std::uint64_t, Ticket> tickets_;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;

    // Runs an operation; the answer is not ok under a fault.
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
        return StoreAnswer{true, {ClaimResult{done, row == claims_.end() ? ClaimValue{} : row->second}}, {}, false};
    }

    StoreAnswer apply(const ClaimDelete &removal)
    {
        ++writes_;
        const auto row = claims_.find(removal.key_);
        const bool done = row != claims_.end() && row->second == removal.expected_;
        if (done) {
            claims_.erase(row);
        }
        return StoreAnswer{true, {ClaimResult{done, {}}}, {}, false};
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
        return StoreAnswer{true, {}, row == tickets_.end() ? std::vector<Ticket>() : std::vector<Ticket>{row->second}, false};
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
