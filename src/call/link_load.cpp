// Keeps large responses from filling the link of this machine.
#include "call/link_load_func.h"

#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// Number of responses over which the size of a class is averaged.
constexpr std::int64_t SizeSamples = 16;
// A response that occupies the link for less time than this is small.
constexpr Millis MaxSmallLinkTime{10};
// Responses are sent while later requests still run, so the link may be promised for this share of a request's service time, in percent.
constexpr std::int64_t PromisedSharePercent = 270;
// Time for which the link may be promised while service times are short or unknown.
constexpr Millis MinTimeAhead{100};
constexpr std::int64_t MicrosPerSecond = 1000000;
constexpr std::int64_t WholePercent = 100;

// Time that the link takes for a number of bytes; zero when its rate is unknown.
Millis linkTime(const World &world, Bytes size)
{
    const std::int64_t rate = world.settings_.linkBytesPerSecond_.value();
    return rate == 0 ? Millis() : Millis::fromMicros(size.value() * MicrosPerSecond / rate);
}

// Time for which the link may be promised to requests of a class.
Millis timeAhead(const World &world, const ClassName &name)
{
    const ShortestTimes &times = world.admissions_.shortestServiceTimes_;
    const auto found = times.find(name);
    const Millis serviceTime = found == times.end() ? Millis() : found->second;
    return std::max(MinTimeAhead, Millis::fromMicros(serviceTime.micros() * PromisedSharePercent / WholePercent));
}

} // namespace

void recordResponseSize(World &world, const Admission &row, Bytes size)
{
    const auto [entry, added] = world.admissions_.typicalResponseSizes_.try_emplace(row.offer_.class_, size);
    if (!added) {
        entry->second += Bytes((size - entry->second).value() / SizeSamples);
    }
}

Bytes expectedResponseSize(const World &world, const Admission &row)
{
    const auto found = world.admissions_.typicalResponseSizes_.find(row.offer_.class_);
    return found == world.admissions_.typicalResponseSizes_.end() ? Bytes() : found->second;
}

bool fitsLink(const World &world, const Admission &row)
{
    const Bytes promised = world.admissions_.promisedResponseBytes_;
    const Bytes size = expectedResponseSize(world, row);
    // A response that exceeds the limit by itself is sent when nothing else is.
    const bool isEitherSmall = std::min(linkTime(world, size), linkTime(world, promised)) < MaxSmallLinkTime;
    return isEitherSmall || linkTime(world, promised + size) <= timeAhead(world, row.offer_.class_);
}

} // namespace radishford
