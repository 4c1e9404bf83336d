// The local page where the backend server beside this daemon announces itself.
#pragma once

#include "net/dialect.h"
#include "net/engine.h"
#include "net/http_exchange.h"

namespace radishford {

// Takes announcements in the deployment's own form.
class AnnouncePage
{
public:
    AnnouncePage(Engine &engine, const Address &address, const BackendDialect &dialect);

    // Starts to accept.
    void start();

private:
    // Answers one request.
    Task<TextResponse> answer(TextRequest request);

    Engine &engine_;
    const BackendDialect &dialect_;
    TextServer server_;
};

} // namespace radishford
