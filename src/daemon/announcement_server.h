// HTTP server for announcements of the local backend server.
#pragma once

#include "net/http_adapters.h"
#include "net/http_client_server.h"
#include "net/world_runner.h"

namespace radishford {

// Accepts announcements in the format that the backend adapter parses, and posts them as events.
class AnnouncementServer
{
public:
    AnnouncementServer(WorldRunner &worldRunner, const Address &address, const BackendAdapter &adapter);

    // Starts to accept connections.
    void start();

private:
    // Responds with AnnounceMalformed or AdminUnknown when the adapter rejects the request; both count as bad messages.
    // HTTP that cannot be parsed does not arrive here; HttpServer counts it.
    Task<HttpResponse> handleRequest(HttpRequest request);

    WorldRunner &worldRunner_;
    const BackendAdapter &adapter_;
    HttpServer server_;
};

} // namespace radishford
