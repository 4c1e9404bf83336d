// The local page where the backend server beside this daemon announces itself.
#include "daemon/announce_page.h"

#include "core/error.h"
#include "net/failure_response.h"

namespace radishford {

AnnouncePage::AnnouncePage(Engine &engine, const Address &address, const BackendDialect &dialect)
    : engine_(engine)
    , dialect_(dialect)
    , server_(engine.context(), address, [this](TextRequest request) { return answer(std::move(request)); })
{
}

void AnnouncePage::start()
{
    server_.start();
}

Task<TextResponse> AnnouncePage::answer(TextRequest request)
{
    try {
        engine_.post(dialect_.readAnnouncement(request));
    } catch (const Error &problem) {
        ++engine_.counters().badMessages_;
        const bool unknown = problem.code() == ResultCode::AdminUnknown;
        TextResponse response = failureResponse(unknown ? ResultCode::AdminUnknown : ResultCode::AnnounceMalformed, "", true);
        response.body() = std::string(problem.what()) + "\n";
        co_return response;
    }
    co_return makeResponse(200, "application/json", "{}\n");
}

} // namespace radishford
