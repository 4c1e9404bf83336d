// Lets coroutines wait for a change of state on one thread.
#pragma once

#include "net/net.h"

namespace radishford {

// Wakes every coroutine that waits. Waiters check their condition again, in a loop.
class Signal
{
public:
    // A signal of the executor's thread.
    explicit Signal(const asio::any_io_executor &executor)
        : timer_(executor, std::chrono::steady_clock::time_point::max())
    {
    }

    // Returns after the next notify().
    Task<> wait()
    {
        error_code ignored;
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    // Wakes all waiters.
    void notify()
    {
        timer_.cancel();
    }

private:
    // Never expires; cancelling it wakes the waiters.
    asio::steady_timer timer_;
};

} // namespace radishford
