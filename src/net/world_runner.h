// Runs a world on an io_context: collects events, runs ticks and passes the resulting effects to a handler.
#pragma once

#include "net/latency_metrics.h"
#include "net/net.h"
#include "net/span_buffer.h"
#include "world/world.h"

#include <cstdint>
#include <functional>

namespace radishford {

// Carries out effects. The world runner calls apply() for each effect of a tick, in order.
class EffectHandler
{
public:
    virtual ~EffectHandler() = default;

    // Carries out one effect.
    virtual void apply(const Effect &effect) = 0;
};

// Counters of what the front end observes itself, without the world.
struct FrontEndCounters {
    // Malformed, oversized or stalled messages from daemons.
    std::uint64_t badMessages_ = 0;
    // HTTP requests that could not be read.
    std::uint64_t badRequests_ = 0;
    // Requests of callers that were read while an earlier one of the same connection was being served.
    std::uint64_t pipelinedRequests_ = 0;
    // Connections closed on accept because the limit was reached.
    std::uint64_t refusedConnections_ = 0;
    // Bytes sent on exchanges of first attempts.
    std::uint64_t callBytes_ = 0;
    // Bytes sent on exchanges of further attempts.
    std::uint64_t retryBytes_ = 0;
};

// Runs one world on one thread. All methods must be called from the thread that runs the io_context.
class WorldRunner
{
public:
    // Creates the world and schedules its first tick. The handler must outlive this object.
    WorldRunner(asio::io_context &context, const WorldSettings &settings, std::uint64_t seed, EffectHandler &handler);

    // Queues an event for the next tick.
    void post(Event event);

    // Read access to the tables of the world.
    [[nodiscard]] const World &world() const;

    // Counters of the front end; the parts of the front end update them.
    FrontEndCounters &counters();

    // Spans of traces that have ended.
    SpanBuffer &spans();

    // Latency of calls, from the caller's header to the end of the response.
    LatencyMetrics &latency();

    // Current time on the boot-time clock, which also advances while the instance is suspended.
    [[nodiscard]] static Millis now();

    // Writes a log line about something that only the front end observes.
    void log(const std::string &text);

    // The io_context that runs the world and the front end.
    asio::io_context &context();

private:
    // Schedules a tick after the handlers that are already queued. Does nothing when one is scheduled.
    void scheduleTick();

    // Runs one tick and applies its effects.
    void tick();

    // Sets the timer to the next deadline of the world.
    void setTimer();

    asio::io_context &context_;
    EffectHandler &handler_;
    World world_;
    Inbox inbox_;
    // True when a tick is scheduled.
    bool tickScheduled_ = false;
    asio::steady_timer timer_;
    // Deadline that the timer is set to.
    Millis timerDeadline_ = Millis::never();
    FrontEndCounters counters_;
    SpanBuffer spans_;
    LatencyMetrics latency_;
};

} // namespace radishford
