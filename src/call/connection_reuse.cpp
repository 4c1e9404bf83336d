// Decides how long a connection to the backend server may have been idle to be reused.
#include "call/connection_reuse_func.h"

#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// When a connection closes within this time of its last use, the backend server failed; the connection was not silently dropped.
constexpr Millis MinIdle{20};
// The limit is the idle time of the dropped connection divided by this, since others may be dropped sooner.
constexpr std::int64_t TrustedIdleDivisor = 4;
// Without another dropped connection for this long, the limit ends and longer idle times are tried again.
constexpr Millis TrialPeriod{15000};

} // namespace

Millis maxReuseIdleTime(const World &world)
{
    const ConnectionReuseTable &reuse = world.admissions_.connectionReuse_;
    return world.now_ < reuse.maxIdleTimeExpiresAt_ ? reuse.maxIdleTime_ : Millis::never();
}

void recordIdleConnectionLoss(World &world, Millis idle)
{
    if (idle < MinIdle) {
        return;
    }
    const Millis trusted = Millis::fromMicros(idle.micros() / TrustedIdleDivisor);
    const Millis previous = maxReuseIdleTime(world);
    world.admissions_.connectionReuse_ = ConnectionReuseTable{std::min(previous, trusted), world.now_ + TrialPeriod};
    if (previous == Millis::never()) {
        world.emit(
            LogStateChange{"idle connections to the backend server are dropped silently: reusing them only within " + std::to_string(trusted.count()) + " ms"});
    }
}

} // namespace radishford
