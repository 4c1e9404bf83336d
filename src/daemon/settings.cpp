// Settings of a daemon, read from a JSON file.
#include "daemon/settings.h"

#include "wire/json_reader.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>

namespace radishford {

namespace json = boost::json;

namespace {

// Limits of the settings; values outside of them are rejected.
constexpr std::int64_t MaxPlaces = 255;
// Names are sent in membership datagrams, each with seven records, so their length is limited.
constexpr std::size_t MaxInstanceNameLength = 48;
constexpr std::size_t MaxPlaceNameLength = 32;
constexpr std::int64_t MaxConnections = 65536;
constexpr std::int64_t MinHeaderBytes = 1024;
constexpr std::int64_t MaxHeaderBytes = 262144;
constexpr std::int64_t MaxPipelinedRequests = 1024;
constexpr std::int64_t MaxCalls = 100000;
constexpr std::int64_t MaxLinkMegabits = 1000000;
constexpr std::int64_t BytesPerMegabit = 125000;
constexpr std::int64_t MaxHeldMegabytes = 4096;
constexpr std::int64_t MaxStoreRate = 100000;
constexpr unsigned MegabyteShift = 20;

// Throws Error with BadAddress that names the key and the invalid text.
Address readAddress(JsonReader &reader, const char *key)
{
    const std::string text = reader.text(key);
    try {
        return parseAddress(text);
    } catch (const Error &) {
        throw Error(ResultCode::BadAddress, reader.keyPath(key) + " \"" + text + "\"");
    }
}

// Reads the failure domains and their regions. Throws Error with DuplicateName or OutOfRange.
std::vector<Place> readPlaces(JsonReader &reader)
{
    std::vector<Place> places;
    reader.value("places");
    for (const json::value &value : reader.list("places")) {
        JsonReader row(value, "places[" + std::to_string(places.size()) + "]");
        Place place{row.boundedString("failure_domain", MaxPlaceNameLength), row.boundedString("region", MaxPlaceNameLength)};
        row.rejectUnknownKeys();
        const bool isKnown = std::any_of(places.begin(), places.end(), [&](const Place &other) { return other.failureDomain_ == place.failureDomain_; });
        if (isKnown) {
            throw Error(ResultCode::DuplicateName, "places " + place.failureDomain_);
        }
        places.push_back(place);
    }
    if (places.empty() || static_cast<std::int64_t>(places.size()) > MaxPlaces) {
        throw Error(ResultCode::OutOfRange, "places (1 to 255 entries)");
    }
    return places;
}

// Reads the addresses of the daemons that are contacted first. Throws Error with BadAddress.
std::vector<Address> readSeeds(JsonReader &reader)
{
    std::vector<Address> seeds;
    for (const std::string &text : reader.texts("seeds")) {
        try {
            seeds.push_back(parseAddress(text));
        } catch (const Error &) {
            throw Error(ResultCode::BadAddress, "seeds \"" + text + "\"");
        }
    }
    return seeds;
}

// Reads the optional limits; a limit that is absent keeps its default.
void readLimits(JsonReader &reader, DaemonSettings &settings)
{
    if (!reader.has("limits")) {
        return;
    }
    JsonReader row(reader.value("limits"), "limits");
    const WorldSettings fallback;
    const auto calls = static_cast<std::int64_t>(fallback.maxCalls_);
    settings.world_.maxCalls_ = static_cast<std::size_t>(row.number("calls", 1, MaxCalls, calls));
    const auto callers = static_cast<std::int64_t>(settings.callerLimits_.maxConnections_);
    settings.callerLimits_.maxConnections_ = static_cast<std::size_t>(row.number("caller_connections", 1, MaxConnections, callers));
    const std::int64_t header = settings.callerLimits_.maxHeaderBytes_;
    settings.callerLimits_.maxHeaderBytes_ = static_cast<std::uint32_t>(row.number("header_bytes", MinHeaderBytes, MaxHeaderBytes, header));
    settings.world_.linkBytesPerSecond_ = Bytes(row.number("link_megabits_per_second", 0, MaxLinkMegabits, 0) * BytesPerMegabit);
    const auto pipelined = static_cast<std::int64_t>(settings.callerLimits_.maxPipelinedRequests_);
    settings.callerLimits_.maxPipelinedRequests_ = static_cast<std::size_t>(row.number("pipelined_requests", 1, MaxPipelinedRequests, pipelined));
    const auto peers = static_cast<std::int64_t>(settings.exchangeLimits_.maxConnections_);
    settings.exchangeLimits_.maxConnections_ = static_cast<std::size_t>(row.number("daemon_connections", 1, MaxConnections, peers));
    const auto heldMegabytes = static_cast<std::int64_t>(settings.exchangeLimits_.maxHeldBytes_ >> MegabyteShift);
    settings.exchangeLimits_.maxHeldBytes_ = static_cast<std::uint64_t>(row.number("held_body_megabytes", 1, MaxHeldMegabytes, heldMegabytes)) << MegabyteShift;
    settings.world_.storePollsPerSecond_ = static_cast<double>(row.number("fleet_store_reads_per_second", 1, MaxStoreRate, 2));
    settings.world_.storeWritesPerSecond_ = static_cast<double>(row.number("fleet_store_writes_per_second", 1, MaxStoreRate, 300));
    row.rejectUnknownKeys();
}

// Throws Error with DuplicateAddress when two roles share an address.
void checkAddresses(const DaemonSettings &settings)
{
    const std::array<std::pair<const char *, Address>, 4> roles{{
        {"daemon_address", settings.world_.address_},
        {"caller_address", settings.callerAddress_},
        {"announce_address", settings.announcementAddress_},
        {"admin_address", settings.world_.adminAddress_},
    }};
    std::map<Address, const char *> seen;
    for (const auto &[key, address] : roles) {
        const auto [other, added] = seen.emplace(address, key);
        if (!added) {
            throw Error(ResultCode::DuplicateAddress, std::string(key) + " and " + other->second);
        }
    }
}

} // namespace

DaemonSettings parseSettings(const std::string &text)
{
    const json::value parsed = parseJson(text, "settings");
    JsonReader reader(parsed, "");
    DaemonSettings settings;
    settings.world_.name_ = InstanceName(reader.boundedString("instance", MaxInstanceNameLength));
    settings.world_.places_ = readPlaces(reader);
    settings.world_.failureDomain_ = reader.text("failure_domain");
    settings.world_.address_ = readAddress(reader, "daemon_address");
    settings.world_.adminAddress_ = readAddress(reader, "admin_address");
    settings.world_.seeds_ = readSeeds(reader);
    settings.callerAddress_ = readAddress(reader, "caller_address");
    settings.announcementAddress_ = readAddress(reader, "announce_address");
    settings.storeAddress_ = readAddress(reader, "store_address");
    readLimits(reader, settings);
    reader.rejectUnknownKeys();
    checkAddresses(settings);
    const auto &places = settings.world_.places_;
    const bool isKnown = std::any_of(places.begin(), places.end(), [&](const Place &place) { return place.failureDomain_ == settings.world_.failureDomain_; });
    if (!isKnown) {
        throw Error(ResultCode::UnknownFailureDomain, "failure_domain \"" + settings.world_.failureDomain_ + "\"");
    }
    return settings;
}

DaemonSettings readSettings(const std::string &path)
{
    return parseSettings(readFile(path));
}

} // namespace radishford
