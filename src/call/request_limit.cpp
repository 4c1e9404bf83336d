// Keeps the request limit of the local backend server.
#include "call/request_limit_func.h"

#include "call/backend_speed_func.h"
#include "world/world.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace radishford {

namespace {

// Span in which the limit also holds as a whole, so that requests admitted under a higher limit count after it has fallen.
constexpr Millis LimitSpan{4000};
// Time without requests after which the server may get a burst of what the limit allows in this time.
constexpr Millis BurstTime{1000};
// Time in which the hand-overs tell how much of the limit each rank uses.
constexpr Millis ShareSpan{1000};
// A limited server is asked for its limit when no response has stated it for this long.
constexpr Millis RefreshInterval{1000};
// Lowest limit that is kept when the server has no health check: only a request can tell that the limit has ended.
constexpr RequestRate MinUncheckedRate{0.2};
// Time without rejections after which the next one is logged.
constexpr Millis RejectionPause{5000};
// Longest wait and interval that are reported, for a limit of zero.
constexpr Millis MaxReportedTime{60000};

// Number of requests that a rate allows in a duration.
double requestsIn(RequestRate rate, Millis duration)
{
    constexpr double MillisPerSecond = 1000.0;
    return rate.value() * duration.fractionalMillis() / MillisPerSecond;
}

// The limit that is kept. There must be one.
RequestRate effectiveRate(const World &world)
{
    const RequestRate stated = *world.admissions_.limit_.rate_;
    return canCheckBackend(world) ? stated : std::max(stated, MinUncheckedRate);
}

// Number of requests that may follow each other at once.
double burst(RequestRate rate)
{
    return std::max(1.0, requestsIn(rate, BurstTime));
}

// Time that a number of requests takes at a rate, at most MaxReportedTime.
Millis timeFor(double requests, RequestRate rate)
{
    constexpr double MillisPerSecond = 1000.0;
    const double longest = MaxReportedTime.fractionalMillis();
    return Millis::fromFractionalMillis(rate.value() <= 0 ? longest : std::min(longest, requests / rate.value() * MillisPerSecond));
}

// Formats a rate for the log.
std::string formatRate(RequestRate rate)
{
    constexpr std::size_t MaxLength = 32;
    std::array<char, MaxLength> text{};
    std::snprintf(text.data(), text.size(), "%.6g", rate.value());
    return text.data();
}

// Logs a limit that is not a single plain number, when it changes.
void logUnusualLimit(World &world, const BackendNotice &notice)
{
    RequestLimitTable &limit = world.admissions_.limit_;
    if (notice.unusualLimit_ == limit.unusualLimit_) {
        return;
    }
    limit.unusualLimit_ = notice.unusualLimit_;
    if (!notice.unusualLimit_.empty()) {
        const std::string meaning = notice.limit_ ? "counts as " + formatRate(*notice.limit_) + " requests per second" : "is ignored";
        world.emit(LogStateChange{"backend server states the request limit " + notice.unusualLimit_ + ", which " + meaning});
    }
}

// True when a response was written before the one that stated the current limit, or may have been.
bool isOutdated(const RequestLimitTable &limit, const BackendStated &event)
{
    const bool isLower = event.notice_.limit_ && (!limit.rate_ || *event.notice_.limit_ < *limit.rate_);
    return event.statedAt_ < limit.statedAt_ || (limit.rate_ && !isLower && event.askedAt_ < limit.statedAt_);
}

// True when the announced start of the server may have stated a limit before this process was there to hear of it.
bool mayHaveStatedBefore(const World &world)
{
    return world.admissions_.backend_.incarnation_ <= world.settings_.incarnation_;
}

// Drops hand-overs that are older than the span.
void forgetOldHandOvers(World &world)
{
    std::deque<RecentHandOver> &recent = world.admissions_.limit_.recentHandOvers_;
    while (!recent.empty() && recent.front().at_ <= world.now_ - LimitSpan) {
        recent.pop_front();
    }
}

// True when the limit lets a number of requests be handed over now.
bool hasTokens(World &world, std::int64_t requests)
{
    RequestLimitTable &limit = world.admissions_.limit_;
    const RequestRate rate = effectiveRate(world);
    limit.tokens_.setRate(rate.value(), burst(rate), world.now_);
    forgetOldHandOvers(world);
    const auto inSpan = static_cast<double>(static_cast<std::int64_t>(limit.recentHandOvers_.size()) + requests);
    return limit.tokens_.hasTokens(static_cast<double>(requests), world.now_) && inSpan <= requestsIn(rate, LimitSpan) + burst(rate);
}

// Share of the limit that requests of lower ranks have left to one of this rank lately.
double shareOf(const World &world, std::int32_t rank)
{
    std::int64_t before = 0;
    std::int64_t all = 0;
    for (const RecentHandOver &handOver : world.admissions_.limit_.recentHandOvers_) {
        const bool isRecent = handOver.at_ > world.now_ - ShareSpan;
        all += isRecent ? 1 : 0;
        before += isRecent && handOver.rank_ < rank ? 1 : 0;
    }
    return all == 0 ? 1.0 : 1.0 - static_cast<double>(before) / static_cast<double>(all);
}

} // namespace

void applyStatedLimit(World &world, const BackendStated &event)
{
    RequestLimitTable &limit = world.admissions_.limit_;
    logUnusualLimit(world, event.notice_);
    limit.askedAt_ = std::max(limit.askedAt_, event.askedAt_);
    if (!event.notice_.isLimitKnown_ || event.notice_.limit_ == limit.rate_ || isOutdated(limit, event)) {
        return;
    }
    if (!limit.rate_) {
        // Empty, so that neither the first statement nor a restart of this daemon allows a burst.
        limit.tokens_ = TokenBucket(event.notice_.limit_->value(), burst(*event.notice_.limit_), world.now_);
    }
    limit.rate_ = event.notice_.limit_;
    limit.statedAt_ = event.statedAt_;
    world.counters_.add(Counter::LimitChanges);
    const std::string service = world.admissions_.backend_.service_.value();
    world.emit(LogStateChange{limit.rate_ ? "backend server " + service + " takes " + formatRate(*limit.rate_) + " requests per second"
                                          : "backend server " + service + " states no request limit any more"});
}

bool allowsAdmission(World &world)
{
    RequestLimitTable &limit = world.admissions_.limit_;
    return !limit.rate_ || hasTokens(world, limit.reserved_ + 1);
}

void reserveToken(World &world, Admission &row)
{
    row.reservesToken_ = true;
    ++world.admissions_.limit_.reserved_;
}

void releaseToken(World &world, Admission &row)
{
    if (row.reservesToken_) {
        row.reservesToken_ = false;
        --world.admissions_.limit_.reserved_;
    }
}

bool spendToken(World &world, Admission &row)
{
    releaseToken(world, row);
    RequestLimitTable &limit = world.admissions_.limit_;
    if (limit.rate_ && !hasTokens(world, 1)) {
        return false;
    }
    limit.tokens_.tryTake(1, world.now_);
    if (limit.statedAt_ != Millis() || mayHaveStatedBefore(world)) {
        // Hand-overs after the end of a limit count too when the server states one again.
        forgetOldHandOvers(world);
        limit.recentHandOvers_.push_back(RecentHandOver{world.now_, limitRank(row.offer_)});
    }
    return true;
}

void logLimitRejection(World &world)
{
    RequestLimitTable &limit = world.admissions_.limit_;
    if (limit.rate_ && world.now_ >= limit.rejectionLoggedUntil_) {
        const std::string service = world.admissions_.backend_.service_.value();
        world.emit(LogStateChange{"backend server " + service + ": its limit of " + formatRate(*limit.rate_)
                                  + " requests per second is used up, requests are rejected"});
    }
    limit.rejectionLoggedUntil_ = world.now_ + RejectionPause;
}

std::int32_t limitRank(const Offer &offer)
{
    return 2 * offer.priority_ + (offer.isFromBackend_ ? 0 : 1);
}

Millis timeUntilToken(const World &world, std::int64_t ahead, std::int32_t rank)
{
    const RequestLimitTable &limit = world.admissions_.limit_;
    if (!limit.rate_) {
        return Millis();
    }
    const RequestRate rate = effectiveRate(world);
    const std::int64_t requests = limit.reserved_ + ahead + 1;
    const double missing = static_cast<double>(requests) - limit.tokens_.tokensAt(world.now_);
    Millis wait = missing <= 0 ? Millis() : timeFor(missing, RequestRate(rate.value() * shareOf(world, rank)));
    // Number of hand-overs that must become older than the span first.
    const auto allowed = static_cast<std::int64_t>(requestsIn(rate, LimitSpan) + burst(rate));
    const std::int64_t excess = static_cast<std::int64_t>(limit.recentHandOvers_.size()) + requests - allowed;
    if (excess > 0 && excess <= static_cast<std::int64_t>(limit.recentHandOvers_.size())) {
        wait = std::max(wait, limit.recentHandOvers_[static_cast<std::size_t>(excess - 1)].at_ + LimitSpan - world.now_);
    }
    return wait;
}

Millis requestInterval(const World &world)
{
    return world.admissions_.limit_.rate_ ? timeFor(1, effectiveRate(world)) : Millis();
}

void refreshLimit(World &world)
{
    RequestLimitTable &limit = world.admissions_.limit_;
    const bool isAnnounced = world.admissions_.backend_.state_ != BackendState::Absent;
    if (limit.rate_ && isAnnounced && world.now_ >= limit.askedAt_ + RefreshInterval) {
        limit.askedAt_ = world.now_;
        requestCheck(world);
    }
}

Millis nextRequestLimitDue(const World &world)
{
    const RequestLimitTable &limit = world.admissions_.limit_;
    if (!limit.rate_ || world.admissions_.backend_.state_ == BackendState::Absent) {
        return Millis::never();
    }
    const Millis refreshAt = limit.askedAt_ + RefreshInterval;
    const Millis wait = timeUntilToken(world, 0, 0);
    const bool isQueueWaiting = world.admissions_.queued_ > Slots() && wait > Millis();
    return isQueueWaiting ? std::min(refreshAt, world.now_ + wait) : refreshAt;
}

} // namespace radishford
