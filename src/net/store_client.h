// The platform's table service over HTTP and JSON.
#pragma once

#include "net/dialect.h"
#include "net/engine.h"

namespace radishford {

// Sends requests to the table service and posts the answers.
class StoreClient
{
public:
    StoreClient(Engine &engine, const Address &address, const StoreDialect &dialect);

    // Sends a request. Its answer is posted in any case; without ok_ when none came in time.
    void send(const SendStore &effect);

private:
    // Runs one request.
    Task<> run(SendStore effect);

    Engine &engine_;
    Address address_;
    const StoreDialect &dialect_;
};

} // namespace radishford
