// Transit times of offers between daemons whose clocks are unrelated.
#pragma once

#include "call/exchange_type.h"

namespace radishford {

struct World;

// Records the arrival of an offer at this moment. Returns how much longer it was on its way than the fastest recent offer of its sender; zero when
// there is none to compare it with.
Millis recordTransit(World &world, const Offer &offer);

} // namespace radishford
