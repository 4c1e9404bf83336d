// HTTP server for announcements of the local backend server.
#pragma once

#include "net/dialect.h"
#include "net/engine.h"
#include "net/http_exchange.h"

namespace radishford {

// Accepts announcements in the format that the backend adapter parses, and posts them as events.
class AnnouncementServer
{
public:
    AnnouncementServer(Engine &engine, const Address &address, const BackendDialect &adapter);

    // Starts to accept connections.
    void start();

private:
    // Responds with AnnounceMalformed or AdminUnknown when the adapter rejects the request; both count as bad messages.
    Task<TextResponse> handleRequest(TextRequest request);

    Engine &engine_;
    const BackendDialect &adapter_;
    TextServer server_;
};

} // namespace radishford
