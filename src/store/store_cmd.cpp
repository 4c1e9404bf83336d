// Sends requests to the platform's store and dispatches its responses.
#include "store/store_func.h"

#include "fleet/directory_func.h"
#include "store/claim_func.h"
#include "ticket/routing_watch_func.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <algorithm>
#include <array>

namespace radishford {

namespace {

// Processes a response if the request was one of the system. Returns false otherwise.
using ResponseHandler = bool (*)(World &, std::uint64_t, const StoreResponse &);

// Handlers of the systems that send requests to the store.
constexpr std::array<ResponseHandler, 4> ResponseHandlers{handleRoutingWatchResponse, handleDirectoryResponse, handleTicketResponse, handleClaimResponse};

} // namespace

std::uint64_t sendStoreRequest(World &world, StoreOperation operation)
{
    const std::uint64_t request = ++world.lastStoreRequestId_;
    world.counters_.add(Counter::StoreRequests);
    world.emit(SendStoreRequest{request, std::move(operation)});
    return request;
}

void handle(World &world, const StoreResponded &event)
{
    const bool isHandled = std::any_of(ResponseHandlers.begin(), ResponseHandlers.end(),
                                       [&](ResponseHandler handler) { return handler(world, event.request_, event.response_); });
    if (!isHandled) {
        world.counters_.add(Counter::LateMessages);
    }
}

} // namespace radishford
