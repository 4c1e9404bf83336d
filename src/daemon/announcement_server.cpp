// HTTP server for announcements of the local backend server.
#include "daemon/announcement_server.h"

#include "core/error.h"
#include "net/failure_response.h"

namespace radishford {

AnnouncementServer::AnnouncementServer(WorldRunner &worldRunner, const Address &address, const BackendAdapter &adapter)
    : worldRunner_(worldRunner)
    , adapter_(adapter)
    , server_(worldRunner.context(), address, [this](HttpRequest request) { return handleRequest(std::move(request)); })
{
}

void AnnouncementServer::start()
{
    server_.start();
}

Task<HttpResponse> AnnouncementServer::handleRequest(HttpRequest request)
{
    try {
        worldRunner_.post(adapter_.readAnnouncement(request));
    } catch (const Error &error) {
        ++worldRunner_.counters().badMessages_;
        // AdminUnknown also stands for an unknown target of this server.
        const bool isUnknownTarget = error.code() == ResultCode::AdminUnknown;
        HttpResponse response = failureResponse(isUnknownTarget ? ResultCode::AdminUnknown : ResultCode::AnnounceMalformed, "", true);
        response.body() = std::string(error.what()) + "\n";
        co_return response;
    }
    co_return makeResponse(200, "application/json", "{}\n");
}

} // namespace radishford
