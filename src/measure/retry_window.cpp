// Retry budget of routed calls, which limits the retries of all daemons together within a sliding window.
#include "measure/retry_window_func.h"

#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// Fraction of the budget that is used. The rest covers retries that running requests cause in further calls, and windows that other
// observers measure at slightly different times.
constexpr double UsableShare = 0.6;
constexpr double PercentScale = 100.0;
// Maximum number of calls tracked for each service. The retries that this number allows are enough for one daemon.
constexpr std::size_t MaxTrackedCalls = 4096;

// Removes the times before the start of the window.
void dropExpired(std::deque<Millis> &times, Millis before)
{
    while (!times.empty() && times.front() < before) {
        times.pop_front();
    }
}

// Returns the number of retries that this daemon may send within one window.
double maxRetries(const World &world, const RetryWindow &row)
{
    const double share = world.settings_.retryWindowShare_.value() / PercentScale;
    const auto daemons = static_cast<double>(std::max<std::size_t>(1, world.fleet_.rows_.size()));
    return UsableShare * (share * static_cast<double>(row.calls_.size()) + world.settings_.retryWindowAllowance_ / daemons);
}

} // namespace

void recordCallForRetryWindow(World &world, const ServiceName &service)
{
    RetryWindow &row = world.retryWindows_.rows_[service];
    dropExpired(row.calls_, world.now_ - world.settings_.retryWindow_);
    row.calls_.push_back(world.now_);
    if (row.calls_.size() > MaxTrackedCalls) {
        row.calls_.pop_front();
    }
}

bool tryTakeRetry(World &world, const ServiceName &service)
{
    RetryWindow &row = world.retryWindows_.rows_[service];
    const Millis start = world.now_ - world.settings_.retryWindow_;
    dropExpired(row.calls_, start);
    dropExpired(row.retries_, start);
    if (static_cast<double>(row.retries_.size()) + 1 > maxRetries(world, row)) {
        return false;
    }
    row.retries_.push_back(world.now_);
    return true;
}

} // namespace radishford
