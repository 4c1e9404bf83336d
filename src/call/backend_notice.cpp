// What the local backend server states about itself in its responses: its request limit, and that it leaves.
#include "call/backend_notice_func.h"

#include "world/world.h"

#include <array>
#include <cstdio>

namespace radishford {

namespace {

// Formats a rate with up to three decimals.
std::string formatRate(RequestRate rate)
{
    constexpr std::size_t MaxLength = 32;
    std::array<char, MaxLength> text{};
    std::snprintf(text.data(), text.size(), "%.6g", rate.value());
    return text.data();
}

// True when the response came from the start of the backend server that is announced now.
bool isFromCurrentStart(const World &world, const BackendStart &start)
{
    const LocalBackend &backend = world.admissions_.backend_;
    return start == BackendStart{backend.id_, backend.incarnation_};
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
        world.emit(LogStateChange{"backend server states the request limit \"" + notice.unusualLimit_ + "\", which " + meaning});
    }
}

// Records and logs a change of the limit.
void changeLimit(World &world, const BackendStated &event)
{
    RequestLimitTable &limit = world.admissions_.limit_;
    limit.rate_ = event.notice_.limit_;
    limit.statedAt_ = event.statedAt_;
    world.counters_.add(Counter::LimitChanges);
    const std::string service = world.admissions_.backend_.service_.value();
    world.emit(LogStateChange{limit.rate_ ? "backend server " + service + " takes " + formatRate(*limit.rate_) + " requests per second"
                                          : "backend server " + service + " states no request limit any more"});
}

} // namespace

void handle(World &world, const BackendStated &event)
{
    if (!isFromCurrentStart(world, event.backend_)) {
        return;
    }
    logUnusualLimit(world, event.notice_);
    if (event.notice_.isLimitKnown_ && event.notice_.limit_ != world.admissions_.limit_.rate_) {
        changeLimit(world, event);
    }
    LocalBackend &backend = world.admissions_.backend_;
    if (event.notice_.isLeaving_ && !backend.isLeaving_) {
        backend.isLeaving_ = true;
        world.emit(LogStateChange{"backend server " + backend.service_.value() + " states that it leaves"});
    }
}

} // namespace radishford
