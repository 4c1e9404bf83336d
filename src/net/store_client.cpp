// Client of the platform's table service over HTTP.
#include "net/store_client.h"

#include "core/error.h"
#include "net/http_client_server.h"

namespace radishford {

namespace {

// A request fails when its response takes longer. A watch gets its hold time in addition.
constexpr std::chrono::milliseconds StoreTimeout(1000);
// Maximum size of a response. The store returns rows of at most 1 MB, which their encoding lengthens by less than half.
constexpr std::uint64_t MaxStoreResponseBytes = std::uint64_t{4} << 20U;

// Logs that rows of a response were left out.
void logRowErrors(WorldRunner &worldRunner, const std::vector<std::string> &errors)
{
    if (!errors.empty()) {
        worldRunner.counters().badMessages_ += errors.size();
        worldRunner.log("store response without " + std::to_string(errors.size()) + " invalid rows: " + errors.front());
    }
}

} // namespace

StoreClient::StoreClient(WorldRunner &worldRunner, const Address &address, const StoreAdapter &adapter)
    : worldRunner_(worldRunner)
    , address_(address)
    , adapter_(adapter)
{
}

void StoreClient::send(const SendStoreRequest &effect)
{
    asio::co_spawn(worldRunner_.context(), run(effect), asio::detached);
}

Task<> StoreClient::run(SendStoreRequest effect)
{
    const auto *watch = std::get_if<RoutingWatch>(&effect.operation_);
    const std::chrono::milliseconds watchTime(watch == nullptr ? 0 : watch->maxWait_.count());
    const HttpRequest request = adapter_.encode(effect.operation_);
    const std::optional<HttpResponse> response
        = co_await sendHttpRequest(worldRunner_.context(), address_, request, StoreTimeout + watchTime, MaxStoreResponseBytes);
    StoreResponded event{effect.request_, {}};
    if (response) {
        try {
            event.response_ = adapter_.decode(effect.operation_, *response);
            logRowErrors(worldRunner_, event.response_.rowErrors_);
        } catch (const Error &error) {
            ++worldRunner_.counters().badMessages_;
            worldRunner_.log(std::string("invalid store response: ") + error.what());
        }
        event.response_.era_ = adapter_.readEra(*response);
    }
    worldRunner_.post(event);
}

} // namespace radishford
