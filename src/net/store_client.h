// Client of the platform's table service over HTTP.
#pragma once

#include "net/dialect.h"
#include "net/engine.h"

namespace radishford {

// Sends requests to the table service and posts the responses.
class StoreClient
{
public:
    // The world runner and the adapter must outlive the client.
    StoreClient(Engine &engine, const Address &address, const StoreDialect &dialect);

    // Sends a request. StoreResponded is always posted; its ok_ is false when no valid response arrived in time.
    void send(const SendStoreRequest &effect);

private:
    // Runs one request.
    Task<> run(SendStoreRequest effect);

    Engine &engine_;
    Address address_;
    const StoreDialect &dialect_;
};

} // namespace radishford
