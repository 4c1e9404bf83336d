// Detects a peer that has stopped to acknowledge bytes.
#pragma once

#include "net/net.h"

namespace radishford {

// Tells a peer that cannot be reached from one that is reachable and reads nothing for a while: the latter still acknowledges window probes.
// The TCP user timeout ends the connection in both cases.
class AckMonitor
{
public:
    using Clock = std::chrono::steady_clock;

    // Time of the next check. It is the same for all connections, so that one wake-up serves them all.
    static Clock::time_point nextCheckTime();

    // True when bytes or window probes have been unacknowledged, and nothing has arrived, in several checks in a row.
    bool isSilent(tcp::socket &socket);

private:
    Clock::time_point lastCheckAt_ = Clock::now();
    // Number of such checks so far. A count rather than a duration, so that a pause of this process is not taken for one of the peer.
    int silentChecks_ = 0;
};

// True while the kernel holds bytes that the peer has not acknowledged.
bool hasUnacknowledgedBytes(tcp::socket &socket);

} // namespace radishford
