// HTTP form of a numbered result.
#pragma once

#include "core/result_code.h"
#include "net/net.h"

#include <string>

namespace radishford {

// The answer that tells a caller a numbered result and what to conclude from it.
http::response<http::string_body> failureResponse(ResultCode code, const std::string &trace, bool keepAlive);

} // namespace radishford
