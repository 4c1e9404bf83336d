// Client of the platform's table service over HTTP.
#include "net/store_client.h"

#include "core/error.h"
#include "net/http_exchange.h"

namespace radishford {

namespace {

// A request fails when its response takes longer. A watch gets its hold time in addition.
constexpr std::chrono::milliseconds StoreTimeout(1000);

} // namespace

StoreClient::StoreClient(Engine &engine, const Address &address, const StoreDialect &dialect)
    : engine_(engine)
    , address_(address)
    , dialect_(dialect)
{
}

void StoreClient::send(const SendStoreRequest &effect)
{
    asio::co_spawn(engine_.context(), run(effect), asio::detached);
}

Task<> StoreClient::run(SendStoreRequest effect)
{
    const auto *watch = std::get_if<RoutingWatch>(&effect.operation_);
    const std::chrono::milliseconds watchTime(watch == nullptr ? 0 : watch->maxWait_.count());
    const TextRequest request = dialect_.encode(effect.operation_);
    const std::optional<TextResponse> response = co_await askHttp(engine_.context(), address_, request, StoreTimeout + watchTime);
    StoreResponded event{effect.request_, {}};
    if (response) {
        try {
            event.response_ = dialect_.decode(effect.operation_, *response);
        } catch (const Error &error) {
            ++engine_.counters().badMessages_;
            engine_.log(std::string("invalid store response: ") + error.what());
        }
    }
    engine_.post(event);
}

} // namespace radishford
