// Client of the platform's table service over HTTP.
#pragma once

#include "net/http_adapters.h"
#include "net/world_runner.h"

namespace radishford {

// Sends requests to the table service and posts the responses.
class StoreClient
{
public:
    // The world runner and the adapter must outlive the client.
    StoreClient(WorldRunner &worldRunner, const Address &address, const StoreAdapter &adapter);

    // Sends a request. StoreResponded is always posted; its ok_ is false when no valid response arrived in time.
    void send(const SendStoreRequest &effect);

private:
    // Runs one request.
    Task<> run(SendStoreRequest effect);

    WorldRunner &worldRunner_;
    Address address_;
    const StoreAdapter &adapter_;
};

} // namespace radishford
