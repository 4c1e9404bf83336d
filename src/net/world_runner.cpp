// Runs a world on an io_context.
#include "net/world_runner.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace radishford {

WorldRunner::WorldRunner(asio::io_context &context, const WorldSettings &settings, std::uint64_t seed, EffectHandler &handler)
    : context_(context)
    , handler_(handler)
    , world_(settings, seed, now())
    , timer_(context)
{
    scheduleTick();
}

void WorldRunner::post(Event event)
{
    inbox_.push_back(std::move(event));
    scheduleTick();
}

const World &WorldRunner::world() const
{
    return world_;
}

FrontEndCounters &WorldRunner::counters()
{
    return counters_;
}

SpanBuffer &WorldRunner::spans()
{
    return spans_;
}

LatencyMetrics &WorldRunner::latency()
{
    return latency_;
}

Millis WorldRunner::now()
{
    // Unlike the steady clock, boot time advances while the instance is suspended, so that deadlines and leases expire in time.
    constexpr std::int64_t MicrosPerSecond = 1000000;
    constexpr std::int64_t NanosPerMicro = 1000;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Millis::fromMicros(time.tv_sec * MicrosPerSecond + time.tv_nsec / NanosPerMicro);
}

void WorldRunner::log(const std::string &text)
{
    handler_.apply(LogStateChange{text});
}

asio::io_context &WorldRunner::context()
{
    return context_;
}

void WorldRunner::scheduleTick()
{
    if (tickScheduled_) {
        return;
    }
    tickScheduled_ = true;
    asio::post(context_, [this]() { tick(); });
}

void WorldRunner::tick()
{
    tickScheduled_ = false;
    const Outbox outbox = world_.tick(now(), std::exchange(inbox_, Inbox()));
    for (const Effect &effect : outbox) {
        handler_.apply(effect);
    }
    setTimer();
}

void WorldRunner::setTimer()
{
    const Millis next = world_.nextDeadline();
    if (next == timerDeadline_ || next == Millis::never()) {
        return;
    }
    timerDeadline_ = next;
    timer_.expires_after(toChrono(std::max(Millis(), next - now())));
    timer_.async_wait([this](const error_code &errorCode) {
        if (!errorCode) {
            timerDeadline_ = Millis::never();
            scheduleTick();
        }
    });
}

} // namespace radishford
