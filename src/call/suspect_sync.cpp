// Comparison of suspects between daemons.
#include "call/suspect_sync_func.h"

#include "call/suspect_func.h"
#include "call/suspect_merge_func.h"
#include "fleet/instance_func.h"
#include "world/world.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace radishford {

namespace {

// Suspects that are forgotten sooner are not compared, since daemons forget them at slightly different times.
constexpr Millis MinComparedTime{6000};
// Maximum number of datagrams in response to one heartbeat.
constexpr std::size_t MaxUpdates = 2;
// Encoded sizes of a failure and of the rest of a record, and the maximum of all records in one datagram, in bytes.
constexpr std::size_t FailureBytes = 10;
constexpr std::size_t RecordBytes = 21;
constexpr std::size_t MaxUpdateBytes = 1300;

// True when other daemons should know a suspect.
bool isCompared(const World &world, const Suspect &suspect)
{
    return !suspect.failures_.empty() && suspect.expiresAt_ >= world.now_ + MinComparedTime;
}

// Returns the suspects to send: those in quarantine first, each group in its order from a random one on, so that repeated updates cover all.
std::vector<Fingerprint> sendingOrder(World &world)
{
    std::vector<Fingerprint> order;
    for (const auto &[fingerprint, suspect] : world.suspects_.rows_) {
        if (isCompared(world, suspect)) {
            order.push_back(fingerprint);
        }
    }
    const auto middle = std::stable_partition(order.begin(), order.end(), [&](Fingerprint fingerprint) { return isQuarantined(world, fingerprint); });
    for (const auto &[begin, end] : {std::pair(order.begin(), middle), std::pair(middle, order.end())}) {
        const auto size = static_cast<std::uint64_t>(end - begin);
        if (size > 1) {
            std::rotate(begin, begin + static_cast<std::ptrdiff_t>(world.random_.uniformBelow(size)), end);
        }
    }
    return order;
}

} // namespace

std::uint64_t suspectsHash(const World &world)
{
    std::uint64_t hash = 0;
    for (const auto &[fingerprint, suspect] : world.suspects_.rows_) {
        hash ^= isCompared(world, suspect) ? hashOf(fingerprint, suspect) : 0;
    }
    return hash;
}

void sendSuspectsIfDifferent(World &world, const Address &to, std::uint64_t hash)
{
    if (hash == suspectsHash(world)) {
        return;
    }
    std::vector<SuspectUpdate> updates(1);
    std::size_t size = 0;
    for (const Fingerprint fingerprint : sendingOrder(world)) {
        SuspectRecord record = recordOf(world, fingerprint);
        const std::size_t recordSize = RecordBytes + FailureBytes * record.failures_.size();
        if (size + recordSize > MaxUpdateBytes) {
            if (updates.size() == MaxUpdates) {
                break;
            }
            updates.emplace_back();
            size = 0;
        }
        size += recordSize;
        updates.back().records_.push_back(std::move(record));
    }
    for (SuspectUpdate &update : updates) {
        if (!update.records_.empty()) {
            world.emit(SendDatagram{to, regionOfAddress(world, to), std::move(update), MessagePurpose::Quarantine});
        }
    }
}

void handleDatagram(World &world, const Address & /*from*/, const SuspectUpdate &update)
{
    for (const SuspectRecord &record : update.records_) {
        mergeSuspect(world, record);
    }
}

} // namespace radishford
