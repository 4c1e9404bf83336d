// Deadlines of rows, ordered by time.
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <queue>
#include <vector>

namespace radishford {

// What a timer is for; the expire system has one handler for each.
enum class TimerKind : std::uint8_t {
    CallDeadline, // A caller's deadline.
    OfferReply, // An offer's reply is overdue.
    WithdrawReply, // A withdrawal's confirmation is overdue.
    AdmissionDeadline, // A request's deadline at the inbound side.
    GoWait, // An admitted request was not confirmed in time.
    Hedge, // A running idempotent call may be tried elsewhere too.
    CallRetry, // A call may look for a backend server again.
    Count, // Number of kinds.
};

// One deadline.
struct Timer {
    // When it is due.
    Millis due_;
    // Which handler takes it.
    TimerKind kind_ = TimerKind::CallDeadline;
    // Packed id of the row.
    std::uint64_t row_ = 0;

    // Later timers sort first, as std::priority_queue needs it.
    bool operator<(const Timer &other) const
    {
        return due_ > other.due_;
    }
};

// Pending deadlines. A timer is never cancelled: its handler finds the row gone or changed.
class TimerQueue
{
public:
    // Adds a deadline.
    void add(Millis due, TimerKind kind, std::uint64_t row)
    {
        heap_.push(Timer{due, kind, row});
    }

    // When the next one is due.
    [[nodiscard]] Millis nextDue() const
    {
        return heap_.empty() ? Millis::never() : heap_.top().due_;
    }

    // Takes the next timer. There must be one.
    Timer pop()
    {
        const Timer timer = heap_.top();
        heap_.pop();
        return timer;
    }

private:
    // Earliest on top.
    std::priority_queue<Timer> heap_;
};

} // namespace radishford
