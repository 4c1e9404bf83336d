// Trials of suspects that many servers were running when they failed at the same moment.
#include "call/suspect_trial_func.h"

#include "call/suspect_func.h"
#include "call/suspect_merge_func.h"
#include "core/hash.h"
#include "fleet/instance_func.h"
#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// Rank of an instance for a request; the lowest one is selected.
std::uint64_t trialRank(const Instance &instance, Fingerprint fingerprint)
{
    return hashBytes(instance.record_.name_.value(), fingerprint.value());
}

} // namespace

bool mayRunHere(const World &world, Fingerprint fingerprint, const ServiceName &service)
{
    const auto members = world.fleet_.byService_.find(service);
    if (!isOnTrial(world, fingerprint) || members == world.fleet_.byService_.end()) {
        return true;
    }
    const std::uint64_t ownRank = trialRank(*world.fleet_.rows_.get(world.fleet_.self_), fingerprint);
    return std::none_of(members->second.begin(), members->second.end(), [&](InstanceId id) {
        const Instance &other = *world.fleet_.rows_.get(id);
        const bool isReady = isRunning(other) && other.record_.backend_ == BackendState::Ready;
        return id != world.fleet_.self_ && isReady && trialRank(other, fingerprint) < ownRank;
    });
}

} // namespace radishford
