// Transit times of offers between daemons whose clocks are unrelated.
#include "call/transit_func.h"

#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// The fastest offer is kept for one to two windows, so that the baseline follows a sender whose clock has started anew.
constexpr Millis BaselineWindow{30000};

// Starts a new window when the current one has ended, or with values of the sender's current process only.
void startWindowIfDue(TransitBaseline &baseline, Incarnation incarnation, Millis now)
{
    if (baseline.incarnation_ != incarnation) {
        baseline = TransitBaseline{};
        baseline.incarnation_ = incarnation;
    }
    if (now >= baseline.windowEndsAt_) {
        baseline.previousLowest_ = baseline.lowest_;
        baseline.lowest_ = Millis::never();
        baseline.windowEndsAt_ = now + BaselineWindow;
    }
}

} // namespace

Millis recordTransit(World &world, const Offer &offer)
{
    const auto found = world.fleet_.byName_.find(offer.sender_);
    if (found == world.fleet_.byName_.end()) {
        return Millis();
    }
    Instance &sender = *world.fleet_.rows_.get(found->second);
    TransitBaseline &baseline = sender.transit_;
    startWindowIfDue(baseline, sender.record_.incarnation_, world.now_);
    const Millis difference = world.now_ - offer.sentAt_;
    baseline.lowest_ = std::min(baseline.lowest_, difference);
    return difference - std::min(baseline.lowest_, baseline.previousLowest_);
}

} // namespace radishford
