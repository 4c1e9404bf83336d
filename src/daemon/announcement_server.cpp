// HTTP server for announcements of the local backend server.
#include "daemon/announcement_server.h"

#include "core/error.h"
#include "net/failure_response.h"

namespace radishford {

AnnouncementServer::AnnouncementServer(Engine &engine, const Address &address, const BackendDialect &adapter)
    : engine_(engine)
    , adapter_(adapter)
    , server_(engine.context(), address, [this](TextRequest request) { return handleRequest(std::move(request)); })
{
}

void AnnouncementServer::start()
{
    server_.start();
}

Task<TextResponse> AnnouncementServer::handleRequest(TextRequest request)
{
    try {
        engine_.post(adapter_.readAnnouncement(request));
    } catch (const Error &error) {
        ++engine_.counters().badMessages_;
        const bool isUnknownPage = error.code() == ResultCode::AdminUnknown;
        TextResponse response = failureResponse(isUnknownPage ? ResultCode::AdminUnknown : ResultCode::AnnounceMalformed, "", true);
        response.body() = std::string(error.what()) + "\n";
        co_return response;
    }
    co_return makeResponse(200, "application/json", "{}\n");
}

} // namespace radishford
