// HTTP response for a result code.
#include "net/failure_response.h"

#include <boost/json.hpp>

namespace radishford {

namespace json = boost::json;

http::response<http::string_body> failureResponse(ResultCode code, const std::string &trace, bool keepAlive)
{
    // HTTP/1.1 in Beast's notation.
    constexpr unsigned HttpVersion = 11;
    const ResultCodeInfo &info = resultCodeInfo(code);
    http::response<http::string_body> response(static_cast<http::status>(info.httpStatus_), HttpVersion);
    response.set(http::field::content_type, "application/json");
    response.set("Radishford-Code", std::to_string(numberOf(code)));
    response.set("Radishford-Outcome", toText(info.outcome_));
    if (!trace.empty()) {
        response.set("Radishford-Trace", trace);
    }
    const json::object body{{"code", numberOf(code)}, {"result", info.name_}, {"outcome", toText(info.outcome_)}, {"text", info.text_}, {"trace", trace}};
    response.body() = json::serialize(body) + "\n";
    response.keep_alive(keepAlive);
    response.prepare_payload();
    return response;
}

} // namespace radishford
