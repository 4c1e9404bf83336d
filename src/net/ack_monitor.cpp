// Detects a peer that has stopped to acknowledge bytes.
#include "net/ack_monitor.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace radishford {

namespace {

// Time between two checks.
constexpr std::chrono::milliseconds CheckInterval(500);
// A peer is silent after this many checks in a row, 1.5 s to 2 s.
constexpr int MaxSilentChecks = 4;

} // namespace

AckMonitor::Clock::time_point AckMonitor::nextCheckTime()
{
    const Clock::duration now = Clock::now().time_since_epoch();
    return Clock::time_point(now - now % CheckInterval + CheckInterval);
}

bool AckMonitor::isSilent(tcp::socket &socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return false;
    }
    const bool awaitsAck = info.tcpi_unacked > 0 || info.tcpi_probes > 0;
    const auto sinceLastCheck = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - lastCheckAt_);
    const bool hasHeard = std::chrono::milliseconds(info.tcpi_last_ack_recv) < sinceLastCheck;
    lastCheckAt_ = Clock::now();
    silentChecks_ = awaitsAck && !hasHeard ? silentChecks_ + 1 : 0;
    return silentChecks_ >= MaxSilentChecks;
}

bool hasUnacknowledgedBytes(tcp::socket &socket)
{
    int bytes = 0;
    return ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

} // namespace radishford
