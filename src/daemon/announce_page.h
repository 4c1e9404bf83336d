// The local page where the backend server beside this daemon announces itself.
#pragma once

#include "net/engine.h"
#include "net/http_exchange.h"

namespace radishford {

// Takes POST /announce.
class AnnouncePage
{
public:
    AnnouncePage(Engine &engine, const Address &address);

    // Starts to accept.
    void start();

private:
    // Answers one request.
    Task<TextResponse> answer(TextRequest request);

    Engine &engine_;
    TextServer server_;
};

} // namespace radishford
