// The local page where the backend server beside this daemon announces itself.
#include "daemon/announce_page.h"

#include "net/failure_response.h"
#include "wire/json_reader.h"

#include <algorithm>
#include <array>
#include <limits>

namespace radishford {

namespace {

constexpr std::int64_t MaxSlots = 100000;
// Names ride on datagrams, seven records at a time.
constexpr std::size_t MaxServiceName = 48;

// Reads the state's name. Throws Error with OutOfRange.
BackendState readState(const std::string &name)
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

// Reads an announcement.
BackendAnnounced readAnnouncement(const std::string &text)
{
    const boost::json::value parsed = parseJson(text, "announcement");
    JsonReader reader(parsed, "");
    BackendAnnounced event;
    event.service_ = ServiceName(reader.name("service", MaxServiceName));
    event.address_ = parseAddress(reader.text("address"));
    event.slots_ = Slots(static_cast<std::int32_t>(reader.number("slots", 1, MaxSlots)));
    event.state_ = readState(reader.text("state"));
    event.incarnation_ = Incarnation(static_cast<std::uint64_t>(reader.number("started", 0, std::numeric_limits<std::int64_t>::max(), 0)));
    reader.finish();
    return event;
}

} // namespace

AnnouncePage::AnnouncePage(Engine &engine, const Address &address)
    : engine_(engine)
    , server_(engine.context(), address, [this](TextRequest request) { return answer(std::move(request)); })
{
}

void AnnouncePage::start()
{
    server_.start();
}

Task<TextResponse> AnnouncePage::answer(TextRequest request)
{
    if (request.method() != http::verb::post || request.target() != "/announce") {
        co_return failureResponse(ResultCode::AdminUnknown, "", true);
    }
    try {
        engine_.post(readAnnouncement(request.body()));
    } catch (const Error &problem) {
        ++engine_.counters().badMessages_;
        TextResponse response = failureResponse(ResultCode::AnnounceMalformed, "", true);
        response.body() = std::string(problem.what()) + "\n";
        co_return response;
    }
    co_return makeResponse(200, "application/json", "{}\n");
}

} // namespace radishford
