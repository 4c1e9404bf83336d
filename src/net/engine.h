// Runs a world on an io_context: collects events, ticks, and hands effects to the parts that carry them out.
#pragma once

#include "net/latency_metrics.h"
#include "net/net.h"
#include "net/span_ring.h"
#include "world/world.h"

#include <cstdint>
#include <functional>

namespace radishford {

// Carries out effects. The engine calls apply() for each of them in order.
class EffectHandler
{
public:
    virtual ~EffectHandler() = default;

    // Carries out one effect.
    virtual void apply(const Effect &effect) = 0;
};

// Counts what the front end itself sees.
struct FrontCounters {
    // Malformed, oversized or stalled messages from daemons.
    std::uint64_t badMessages_ = 0;
    // HTTP requests that could not be read.
    std::uint64_t badRequests_ = 0;
    // Connections turned away because there were too many.
    std::uint64_t refusedConnections_ = 0;
    // Bytes of exchanges, by first and further attempts.
    std::uint64_t callBytes_ = 0;
    std::uint64_t retryBytes_ = 0;
};

// One world on one thread.
class Engine
{
public:
    // Starts a world; the handler must outlive the engine.
    Engine(asio::io_context &context, const WorldSettings &settings, std::uint64_t seed, EffectHandler &handler);

    // Adds an event; the next tick takes it.
    void post(Event event);

    // Tables, for questions that change nothing.
    [[nodiscard]] const World &world() const;

    // Counters of the front end.
    FrontCounters &counters();

    // Spans that have ended.
    SpanRing &spans();

    // Latency of calls, from the caller's header to the end of the answer.
    LatencyMetrics &latency();

    // Time since the process's clock started.
    [[nodiscard]] static Millis now();

    // Writes a log line about something that only the front end sees.
    void log(const std::string &text);

    asio::io_context &context();

private:
    // Asks for a tick after the events at hand.
    void schedule();

    // Runs one tick and carries out its effects.
    void tick();

    // Sets the timer to the next deadline.
    void arm();

    asio::io_context &context_;
    EffectHandler &handler_;
    World world_;
    Inbox inbox_;
    // True when a tick has been asked for.
    bool scheduled_ = false;
    asio::steady_timer timer_;
    // What the timer is set to.
    Millis armedFor_ = Millis::never();
    FrontCounters counters_;
    SpanRing spans_;
    LatencyMetrics latency_;
};

} // namespace radishford
