// The users' rules on backend servers that limit their requests or announce that they leave, for process soaks and tests: judges what callers and
// backend servers have seen.
#pragma once

#include "core/clock_type.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace radishford {

// What one start of a backend server states in its responses from a time on, until its next record.
struct NoticeRecord {
    // Name of this start; a server that starts again gets another one.
    std::string server_{};
    Millis at_{};
    bool hasLimit_ = false;
    // Requests per second.
    double limit_ = 0;
    bool isLeaving_ = false;
};

// A response that a machine has passed on to its caller.
struct PassedOnResponse {
    std::string machine_{};
    std::string server_{};
    Millis at_{};
    bool hasLimit_ = false;
    bool isLeaving_ = false;
};

// A request that has reached a backend server, whether or not the server ran it.
struct ArrivedRequest {
    std::string id_{};
    // Machine on which the request began.
    std::string machine_{};
    std::string server_{};
    // When its caller sent it.
    Millis sentAt_{};
    Millis arrivedAt_{};
    // True when the server rejected it with 421, since it was meant for another one.
    bool isForOther_ = false;
};

// A restart, freeze or cut of a machine.
struct ExcuseRecord {
    std::string machine_{};
    Millis endedAt_{};
    // True for a cut, which excuses nothing of requests to a leaving server.
    bool isCut_ = false;
};

// All records of an observation.
struct NoticeObservation {
    std::vector<NoticeRecord> notices_{};
    std::vector<PassedOnResponse> responses_{};
    std::vector<ArrivedRequest> requests_{};
    std::vector<ExcuseRecord> excuses_{};
};

// Durations that the users' pages set for a deployment.
struct NoticeRuleBounds {
    Millis stableWindow_{3000};
    Millis drain_{2000};
};

// Judges requests by both rules.
class ServerNoticeRule
{
public:
    explicit ServerNoticeRule(NoticeObservation observation, NoticeRuleBounds bounds = {})
        : observation_(std::move(observation))
        , bounds_(bounds)
    {
        const auto byTime = [](const auto &first, const auto &second) { return first.at_ < second.at_; };
        std::stable_sort(observation_.notices_.begin(), observation_.notices_.end(), byTime);
        std::stable_sort(observation_.requests_.begin(), observation_.requests_.end(),
                         [](const ArrivedRequest &first, const ArrivedRequest &second) { return first.arrivedAt_ < second.arrivedAt_; });
    }

    // "From stableWindowS after an upstream first named its Server-Limit, it gets in some 4 s more than one and a half times what that allows, + 5
    // requests, summed over the machines that had passed on such an answer half a second before or earlier." At most one text for each server. A
    // limit that has fallen counts from Delay after its fall, for all requests of the span.
    [[nodiscard]] std::vector<std::string> limitViolations() const
    {
        std::map<std::string, std::vector<Millis>> arrivals;
        std::map<std::string, std::string> texts;
        for (const ArrivedRequest &request : observation_.requests_) {
            if (!isCounted(request)) {
                continue;
            }
            std::vector<Millis> &times = arrivals[request.server_];
            times.push_back(request.arrivedAt_);
            const auto [isLimited, limit] = highestLimit(request.server_, request.arrivedAt_);
            const Millis judgedFrom = firstLimitAt(request.server_) + bounds_.stableWindow_;
            if (!isLimited || request.arrivedAt_ < judgedFrom) {
                continue;
            }
            const auto inSpan = static_cast<double>(std::count_if(times.begin(), times.end(), [&](Millis time) { return time > request.arrivedAt_ - Span; }));
            const double allowed = AllowedFactor * limit * (Span.fractionalMillis() / 1000) + AllowedBeyond;
            if (inSpan > allowed) {
                texts.try_emplace(request.server_,
                                  request.server_ + " got " + std::to_string(static_cast<int>(inSpan)) + " requests in 4 s up to " + request.id_ + ", allowed "
                                      + std::to_string(static_cast<int>(allowed)));
            }
        }
        return valuesOf(texts);
    }

    // "A request that a client sent later than drainS after a machine had passed on an answer with Server-Leaving reaches that upstream from that
    // machine, in touch or not. A restart or a freeze of the machine since then excuses it." One text for each request.
    [[nodiscard]] std::vector<std::string> leavingViolations() const
    {
        std::vector<std::string> texts;
        for (const ArrivedRequest &request : observation_.requests_) {
            const bool isLate = std::any_of(observation_.responses_.begin(), observation_.responses_.end(), [&](const PassedOnResponse &response) {
                const bool isFromServer = response.isLeaving_ && response.machine_ == request.machine_ && response.server_ == request.server_;
                const bool isBound = isFromServer && request.sentAt_ > response.at_ + bounds_.drain_;
                return isBound && !isExcused(request.machine_, response.at_, request.arrivedAt_, false);
            });
            if (isLate && !request.isForOther_) {
                texts.push_back(request.id_ + " reached " + request.server_ + ", which leaves, from " + request.machine_);
            }
        }
        return texts;
    }

    // The violations of both rules.
    [[nodiscard]] std::vector<std::string> violations() const
    {
        std::vector<std::string> texts = limitViolations();
        const std::vector<std::string> leaving = leavingViolations();
        texts.insert(texts.end(), leaving.begin(), leaving.end());
        return texts;
    }

private:
    // The span in which requests are counted.
    static constexpr Millis Span{4000};
    // A machine counts this long after it has passed on a response that names a limit.
    static constexpr Millis Delay{500};
    static constexpr double AllowedFactor = 1.5;
    static constexpr double AllowedBeyond = 5;

    // True when an excuse of the machine ended within a span of time.
    [[nodiscard]] bool isExcused(const std::string &machine, Millis since, Millis until, bool byCut) const
    {
        return std::any_of(observation_.excuses_.begin(), observation_.excuses_.end(), [&](const ExcuseRecord &excuse) {
            const bool applies = excuse.machine_ == machine && (byCut || !excuse.isCut_);
            return applies && excuse.endedAt_ >= since && excuse.endedAt_ <= until;
        });
    }

    // True when the machine of the request had passed on a response that names a limit early enough, with no excuse since.
    [[nodiscard]] bool isCounted(const ArrivedRequest &request) const
    {
        return std::any_of(observation_.responses_.begin(), observation_.responses_.end(), [&](const PassedOnResponse &response) {
            const bool isFromServer = response.hasLimit_ && response.machine_ == request.machine_ && response.server_ == request.server_;
            const bool isEarly = isFromServer && response.at_ + Delay <= request.arrivedAt_;
            return isEarly && !isExcused(request.machine_, response.at_, request.arrivedAt_, true);
        });
    }

    // When the server first stated a limit; never() when it did not.
    [[nodiscard]] Millis firstLimitAt(const std::string &server) const
    {
        const auto found = std::find_if(observation_.notices_.begin(), observation_.notices_.end(),
                                        [&](const NoticeRecord &notice) { return notice.server_ == server && notice.hasLimit_; });
        return found == observation_.notices_.end() ? Millis::never() - bounds_.stableWindow_ : found->at_;
    }

    // The highest limit that was in force in the last Delay; first is false when the server stated none at some moment of it.
    [[nodiscard]] std::pair<bool, double> highestLimit(const std::string &server, Millis at) const
    {
        bool isLimited = false;
        double highest = 0;
        for (const NoticeRecord &notice : observation_.notices_) {
            if (notice.server_ != server || notice.at_ > at) {
                continue;
            }
            if (notice.at_ <= at - Delay) {
                isLimited = notice.hasLimit_;
                highest = notice.limit_;
            } else {
                isLimited = isLimited && notice.hasLimit_;
                highest = std::max(highest, notice.limit_);
            }
        }
        return {isLimited, highest};
    }

    static std::vector<std::string> valuesOf(const std::map<std::string, std::string> &texts)
    {
        std::vector<std::string> values;
        for (const auto &[key, text] : texts) {
            values.push_back(text);
        }
        return values;
    }

    NoticeObservation observation_;
    NoticeRuleBounds bounds_;
};

} // namespace radishford
