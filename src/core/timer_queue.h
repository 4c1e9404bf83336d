// Timers of table rows, ordered by due time.
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <queue>
#include <vector>

namespace radishford {

// Purpose of a timer; the expire system has one handler for each.
enum class TimerKind : std::uint8_t {
    CallDeadline, // The deadline of a call has passed.
    OfferReply, // An offer's reply is overdue.
    WithdrawReply, // A withdrawal's confirmation is overdue.
    AdmissionDeadline, // The deadline of a request has passed at the inbound side.
    ConfirmationDue, // The outbound side did not confirm an admitted request in time.
    Hedge, // An idempotent call that still runs may start a second attempt at another backend server.
    CallRetry, // A waiting call may try to select a backend server again.
    Count, // Number of kinds.
};

// A timer.
struct Timer {
    // Time at which it is due.
    Millis due_;
    // Selects the handler.
    TimerKind kind_ = TimerKind::CallDeadline;
    // Packed id of the row that the timer refers to.
    std::uint64_t rowId_ = 0;

    // Orders by descending due time, since std::priority_queue returns the greatest element first.
    bool operator<(const Timer &other) const
    {
        return due_ > other.due_;
    }
};

// Pending timers. A timer is never cancelled; its handler checks whether the row still exists in the expected state.
class TimerQueue
{
public:
    // Adds a timer for a row.
    void add(Millis due, TimerKind kind, std::uint64_t row)
    {
        heap_.push(Timer{due, kind, row});
    }

    // Due time of the next timer, or never() when there is none.
    [[nodiscard]] Millis nextDue() const
    {
        return heap_.empty() ? Millis::never() : heap_.top().due_;
    }

    // Removes and returns the timer that is due first. The queue must not be empty.
    Timer pop()
    {
        const Timer timer = heap_.top();
        heap_.pop();
        return timer;
    }

private:
    // Heap with the earliest due time on top.
    std::priority_queue<Timer> heap_;
};

} // namespace radishford
