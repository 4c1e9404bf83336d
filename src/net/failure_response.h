// HTTP response for a result code.
#pragma once

#include "core/result_code.h"
#include "net/net.h"

#include <string>

namespace radishford {

// Builds the response that reports a result code, whether the request may have run, and the trace id to a caller.
http::response<http::string_body> failureResponse(ResultCode code, const std::string &trace, bool keepAlive);

} // namespace radishford
