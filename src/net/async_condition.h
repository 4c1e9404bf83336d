// Condition variable for coroutines on one thread.
#pragma once

#include "net/net.h"

namespace radishford {

// Suspends coroutines until a state changes. Waiters must check their condition again in a loop.
class AsyncCondition
{
public:
    // All calls must be made on the executor's thread.
    explicit AsyncCondition(const asio::any_io_executor &executor)
        : timer_(executor, std::chrono::steady_clock::time_point::max())
    {
    }

    // Suspends the caller until the next notify().
    Task<> wait()
    {
        error_code ignored;
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    // Resumes all waiting coroutines.
    void notify()
    {
        timer_.cancel();
    }

private:
    // Never expires; cancelling it resumes the waiters.
    asio::steady_timer timer_;
};

} // namespace radishford
