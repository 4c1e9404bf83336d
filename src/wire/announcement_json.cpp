// Parsing of backend server announcements in JSON.
#include "wire/announcement_json.h"

#include "wire/json_reader.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace radishford {

namespace {

constexpr std::int64_t MaxSlots = 100000;
// Service names are limited because one heartbeat datagram contains seven records with them.
constexpr std::size_t MaxServiceName = 48;

// Converts the name of a state. Throws Error with OutOfRange when it is unknown.
BackendState stateFromName(const std::string &name)
{
    constexpr std::array<std::pair<std::string_view, BackendState>, 3> States{{
        {"starting", BackendState::Starting},
        {"ready", BackendState::Ready},
        {"draining", BackendState::Draining},
    }};
    const auto found = std::find_if(States.begin(), States.end(), [&](const auto &entry) { return entry.first == name; });
    if (found == States.end()) {
        throw Error(ResultCode::OutOfRange, "state (starting, ready or draining)");
    }
    return found->second;
}

} // namespace

BackendAnnounced announcementFromJson(const std::string &text)
{
    const boost::json::value parsed = parseJson(text, "announcement");
    JsonReader reader(parsed, "");
    BackendAnnounced event;
    event.service_ = ServiceName(reader.boundedString("service", MaxServiceName));
    event.address_ = parseAddress(reader.text("address"));
    event.slots_ = Slots(static_cast<std::int32_t>(reader.number("slots", 1, MaxSlots)));
    event.state_ = stateFromName(reader.text("state"));
    event.incarnation_ = Incarnation(static_cast<std::uint64_t>(reader.number("started", 0, std::numeric_limits<std::int64_t>::max(), 0)));
    reader.rejectUnknownKeys();
    return event;
}

} // namespace radishford
