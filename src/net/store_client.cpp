// The platform's table service over HTTP and JSON.
#include "net/store_client.h"

#include "core/error.h"
#include "net/http_exchange.h"
#include "wire/store_json.h"

namespace radishford {

namespace {

// An answer that takes longer counts as lost.
constexpr std::chrono::milliseconds StoreTimeout(1000);

} // namespace

StoreClient::StoreClient(Engine &engine, const Address &address)
    : engine_(engine)
    , address_(address)
{
}

void StoreClient::send(const SendStore &effect)
{
    asio::co_spawn(engine_.context(), run(effect), asio::detached);
}

Task<> StoreClient::run(SendStore effect)
{
    const TextRequest request = makeRequest(http::verb::post, "/table/transact", storeRequestText(effect.operation_));
    const std::optional<TextResponse> response = co_await askHttp(engine_.context(), address_, request, StoreTimeout);
    StoreAnswered event{effect.request_, {}};
    if (response && response->result() == http::status::ok) {
        try {
            event.answer_ = parseStoreAnswer(effect.operation_, response->body());
        } catch (const Error &) {
            ++engine_.counters().badMessages_;
        }
    }
    engine_.post(event);
}

} // namespace radishford
