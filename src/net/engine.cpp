// Runs a world on an io_context.
#include "net/engine.h"

#include <algorithm>
#include <utility>

namespace radishford {

Engine::Engine(asio::io_context &context, const WorldSettings &settings, std::uint64_t seed, EffectHandler &handler)
    : context_(context)
    , handler_(handler)
    , world_(settings, seed, now())
    , timer_(context)
{
    schedule();
}

void Engine::post(Event event)
{
    inbox_.push_back(std::move(event));
    schedule();
}

const World &Engine::world() const
{
    return world_;
}

FrontCounters &Engine::counters()
{
    return counters_;
}

SpanRing &Engine::spans()
{
    return spans_;
}

LatencyMetrics &Engine::latency()
{
    return latency_;
}

Millis Engine::now()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return Millis::fromMicros(std::chrono::duration_cast<std::chrono::microseconds>(sinceStart).count());
}

asio::io_context &Engine::context()
{
    return context_;
}

void Engine::schedule()
{
    if (scheduled_) {
        return;
    }
    scheduled_ = true;
    asio::post(context_, [this]() { tick(); });
}

void Engine::tick()
{
    scheduled_ = false;
    const Outbox outbox = world_.tick(now(), std::exchange(inbox_, Inbox()));
    for (const Effect &effect : outbox) {
        handler_.apply(effect);
    }
    arm();
}

void Engine::arm()
{
    const Millis next = world_.nextDeadline();
    if (next == armedFor_ || next == Millis::never()) {
        return;
    }
    armedFor_ = next;
    timer_.expires_after(toChrono(std::max(Millis(), next - now())));
    timer_.async_wait([this](const error_code &problem) {
        if (!problem) {
            armedFor_ = Millis::never();
            schedule();
        }
    });
}

} // namespace radishford
