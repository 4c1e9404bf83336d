// Enforces the measurement budget and counts every outgoing datagram.
#include "fleet/instance_func.h"
#include "measure/measurement_budget_func.h"
#include "world/world.h"

#include <algorithm>
#include <numeric>

namespace radishford {

namespace {

// Bytes of the IP and UDP headers.
constexpr std::int64_t IpUdpHeaderBytes = 28;
// Upper bound of the fixed fields of any datagram, in bytes.
constexpr std::int64_t FixedDatagramBytes = 56;
// Upper bound of the fixed fields of a record, in bytes.
constexpr std::int64_t FixedRecordBytes = 56;
// Upper bound of the fixed fields of a suspect and of one failure, in bytes.
constexpr std::int64_t FixedSuspectBytes = 24;
constexpr std::int64_t FailureBytes = 10;
// Capacity of a bucket, as seconds of its rate.
constexpr double BurstSeconds = 1.0;

// Upper bound of a record's encoded size in bytes.
std::int64_t maxSizeOf(const InstanceRecord &record)
{
    const std::size_t texts = record.name_.value().size() + record.failureDomain_.size() + record.service_.value().size();
    return FixedRecordBytes + static_cast<std::int64_t>(texts);
}

// Upper bound of a header's encoded size in bytes, records included.
std::int64_t maxSizeOf(const GossipHeader &header)
{
    std::int64_t size = FixedDatagramBytes + static_cast<std::int64_t>(header.sender_.value().size());
    for (const InstanceRecord &record : header.records_) {
        size += maxSizeOf(record);
    }
    return size;
}

// Upper bound of each datagram kind's encoded size in bytes.
std::int64_t maxSizeOf(const Ping &ping)
{
    return maxSizeOf(ping.header_);
}

std::int64_t maxSizeOf(const Ack &ack)
{
    return maxSizeOf(ack.header_);
}

std::int64_t maxSizeOf(const PingRequest &request)
{
    return maxSizeOf(request.header_);
}

std::int64_t maxSizeOf(const Probe &probe)
{
    return FixedDatagramBytes + static_cast<std::int64_t>(probe.service_.value().size());
}

std::int64_t maxSizeOf(const ProbeReply &reply)
{
    return FixedDatagramBytes + static_cast<std::int64_t>(reply.sender_.value().size());
}

// Upper bound of a suspect's encoded size in bytes.
std::int64_t maxSizeOf(const SuspectRecord &record)
{
    return FixedSuspectBytes + FailureBytes * static_cast<std::int64_t>(record.failures_.size());
}

std::int64_t maxSizeOf(const SuspectUpdate &update)
{
    return std::accumulate(update.records_.begin(), update.records_.end(), FixedDatagramBytes,
                           [](std::int64_t size, const SuspectRecord &record) { return size + maxSizeOf(record); });
}

std::int64_t maxSizeOf(const SuspectRequestNotice &notice)
{
    return FixedDatagramBytes + maxSizeOf(notice.record_);
}

std::int64_t maxSizeOf(const SuspectRequestAck & /*ack*/)
{
    return FixedDatagramBytes;
}

// Sets the rates per second of both buckets. The probe bucket holds at least one probe, so that rates below one probe a second still allow
// probes.
void setRates(MeasurementBuckets &buckets, double bytes, double probes, Millis now)
{
    buckets.bytes_.setRate(bytes, bytes * BurstSeconds, now);
    buckets.probes_.setRate(probes, std::max(probes * BurstSeconds, probes > 0 ? 1.0 : 0.0), now);
}

// Returns the limit of the pair from this daemon's region to another region, or nullptr when the budget has none for the pair.
const RegionPairBudget *findPairBudget(const World &world, RegionId toRegion)
{
    const auto &pairs = world.measurement_.spec_.regionPairs_;
    const std::string &from = regionName(world, ownRegion(world));
    const std::string &to = regionName(world, toRegion);
    const auto found = std::find_if(pairs.begin(), pairs.end(), [&](const RegionPairBudget &pair) { return pair.from_ == from && pair.to_ == to; });
    return found == pairs.end() ? nullptr : &*found;
}

// Sets this daemon's share of each region pair's limit: the limit divided by the number of running daemons in its region, or by
// the budget's number of daemons per region when that is larger. Pairs without a limit get a rate of zero.
void setPairRates(World &world)
{
    MeasurementTable &measure = world.measurement_;
    const std::int64_t runningDaemons = countRunningInRegion(world, ownRegion(world));
    measure.pairLimitDivisor_ = std::max<std::int64_t>({1, runningDaemons, measure.spec_.daemonsPerRegion_});
    measure.regionBuckets_.resize(world.settings_.places_.size());
    const auto divisor = static_cast<double>(measure.pairLimitDivisor_);
    for (std::size_t region = 0; region < measure.regionBuckets_.size(); ++region) {
        const RegionPairBudget *pair = findPairBudget(world, RegionId(static_cast<std::uint8_t>(region)));
        const double bytes = pair == nullptr ? 0 : static_cast<double>(pair->bytesPerSecond_.value()) / divisor;
        const double probes = pair == nullptr ? 0 : pair->probesPerSecond_ / divisor;
        setRates(measure.regionBuckets_[region], bytes, probes, world.now_);
    }
}

// Takes from both buckets, or from neither and returns false when one of them holds too little.
bool tryTakeFrom(MeasurementBuckets &buckets, double bytes, double probes, Millis now)
{
    if (!buckets.bytes_.hasTokens(bytes, now) || !buckets.probes_.hasTokens(probes, now)) {
        return false;
    }
    buckets.bytes_.tryTake(bytes, now);
    buckets.probes_.tryTake(probes, now);
    return true;
}

// Adds one message to the traffic counters of its purpose and target region.
void countTraffic(World &world, MessagePurpose purpose, RegionId toRegion, Bytes bytes)
{
    Traffic &traffic = world.counters_.traffic_[TrafficKey{purpose, toRegion}];
    ++traffic.messages_;
    traffic.bytes_ += bytes;
}

// Counts a datagram. Returns false when it is a measurement message that the budget forbids; it is then dropped and counted as denied.
bool admitDatagram(World &world, const SendDatagram &send)
{
    const Bytes bytes = maxDatagramWireSize(send.datagram_);
    if (send.purpose_ == MessagePurpose::Measuring) {
        const bool isProbe = std::holds_alternative<Probe>(send.datagram_);
        if (!tryTakeMeasurementBudget(world, send.toRegion_, bytes, isProbe)) {
            world.counters_.add(Counter::ProbesDenied);
            return false;
        }
    }
    countTraffic(world, send.purpose_, send.toRegion_, bytes);
    return true;
}

} // namespace

void applyMeasurementBudget(World &world, const MeasurementBudgetSpec &spec)
{
    MeasurementTable &measure = world.measurement_;
    measure.spec_ = spec;
    setRates(measure.daemonBuckets_, static_cast<double>(spec.bytesPerSecond_.value()), spec.probesPerSecond_, world.now_);
    setPairRates(world);
}

bool tryTakeMeasurementBudget(World &world, RegionId toRegion, Bytes bytes, bool isProbe)
{
    MeasurementTable &measure = world.measurement_;
    const auto size = static_cast<double>(bytes.value());
    const double probes = isProbe ? 1 : 0;
    if (!measure.daemonBuckets_.bytes_.hasTokens(size, world.now_) || !measure.daemonBuckets_.probes_.hasTokens(probes, world.now_)) {
        return false;
    }
    if (toRegion != ownRegion(world)) {
        if (countRunningInRegion(world, ownRegion(world)) > measure.pairLimitDivisor_) {
            setPairRates(world);
        }
        if (toRegion.value() >= measure.regionBuckets_.size() || !tryTakeFrom(measure.regionBuckets_[toRegion.value()], size, probes, world.now_)) {
            return false;
        }
    }
    return tryTakeFrom(measure.daemonBuckets_, size, probes, world.now_);
}

Bytes maxDatagramWireSize(const Datagram &datagram)
{
    const std::int64_t payload = std::visit([](const auto &body) { return maxSizeOf(body); }, datagram);
    return Bytes(IpUdpHeaderBytes + payload);
}

void runMeasurementBudget(World &world)
{
    Outbox kept;
    kept.reserve(world.outbox_.size());
    for (Effect &effect : world.outbox_) {
        const auto *datagram = std::get_if<SendDatagram>(&effect);
        if (datagram == nullptr || admitDatagram(world, *datagram)) {
            kept.push_back(std::move(effect));
        }
    }
    world.outbox_ = std::move(kept);
}

} // namespace radishford
