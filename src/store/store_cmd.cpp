// Sends requests to the platform's store and dispatches its responses.
#include "store/store_func.h"

#include "fleet/directory_func.h"
#include "store/claim_func.h"
#include "store/quarantine_store_func.h"
#include "ticket/routing_watch_func.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <algorithm>
#include <array>
#include <optional>

namespace radishford {

namespace {

// Processes a response if the request was one of the system. Returns false otherwise.
using ResponseHandler = bool (*)(World &, std::uint64_t, const StoreResponse &);

// Handlers of the systems that send requests to the store.
constexpr std::array<ResponseHandler, 5> ResponseHandlers{handleRoutingWatchResponse, handleDirectoryResponse, handleTicketResponse, handleClaimResponse,
                                                          handleQuarantineResponse};

// Makes a system start over whose state depends on rows or revisions of the store.
using RestoreHandler = void (*)(World &);

// Called when the store was restored from an older copy or replaced, before the response that reports it is dispatched.
constexpr std::array<RestoreHandler, 3> RestoreHandlers{restartRoutingWatch, restartDirectory, restartQuarantineStore};

// True when a response may have been overtaken by the one that reported the current era: its request was sent before that one arrived, and
// it reports a lower era or none.
bool isOvertaken(const World &world, const StoreResponded &event)
{
    return event.request_ <= world.lastRequestBeforeEra_ && event.response_.era_ < world.storeEra_;
}

// Records the era of a response. A lower era in the response to a later request shows that another store has taken the place of the
// previous one.
void recordStoreEra(World &world, StoreEra era)
{
    const std::optional<StoreEra> previous = world.storeEra_;
    if (era == previous) {
        return;
    }
    world.storeEra_ = era;
    world.lastRequestBeforeEra_ = world.lastStoreRequestId_;
    if (!previous) {
        return;
    }
    const std::string change = era < *previous ? "store replaced by another one" : "store restored from an older copy";
    world.emit(LogStateChange{change + ": era " + std::to_string(previous->value()) + " to " + std::to_string(era.value())});
    for (const RestoreHandler restart : RestoreHandlers) {
        restart(world);
    }
}

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
    // What the store acknowledged before it was restored may be lost, so that a response from an earlier era counts as none.
    static const StoreResponse NoResponse;
    const bool isOutdated = isOvertaken(world, event);
    if (event.response_.era_ && !isOutdated) {
        recordStoreEra(world, *event.response_.era_);
    }
    const StoreResponse &response = isOutdated ? NoResponse : event.response_;
    const bool isHandled
        = std::any_of(ResponseHandlers.begin(), ResponseHandlers.end(), [&](ResponseHandler handler) { return handler(world, event.request_, response); });
    if (!isHandled) {
        world.counters_.add(Counter::LateMessages);
    }
}

} // namespace radishford
