// Decides how long an idle connection to the backend server may have been idle to be used again.
#include "call/connection_reuse_func.h"

#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// A connection that broke within this time of its last use was not forgotten: the backend server failed.
constexpr Millis MinIdle{20};
// The part of the idle time of a forgotten connection that is still trusted: others may be forgotten sooner.
constexpr std::int64_t TrustedIdleDivisor = 4;
// After this long without a forgotten connection longer idle times are tried again.
constexpr Millis TrialPeriod{15000};

} // namespace

Millis maxReuseIdle(const World &world)
{
    const ConnectionReuseTable &reuse = world.admissions_.connectionReuse_;
    return world.now_ < reuse.maxIdleExpiresAt_ ? reuse.maxIdle_ : Millis::never();
}

void recordIdleConnectionLoss(World &world, Millis idle)
{
    if (idle < MinIdle) {
        return;
    }
    const Millis trusted = Millis::fromMicros(idle.micros() / TrustedIdleDivisor);
    const Millis previous = maxReuseIdle(world);
    world.admissions_.connectionReuse_ = ConnectionReuseTable{std::min(previous, trusted), world.now_ + TrialPeriod};
    if (previous == Millis::never()) {
        world.emit(LogChange{"idle connections to the backend server are forgotten: used again within " + std::to_string(trusted.count()) + " ms"});
    }
}

} // namespace radishford
