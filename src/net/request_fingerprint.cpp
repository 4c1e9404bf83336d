// Names requests, so that those that crash backend servers are recognised when they come again.
#include "net/request_fingerprint.h"

#include "core/hash.h"

#include <string>

namespace radishford {

Fingerprint fingerprintOf(const RequestHead &head, const ServiceName &caller, std::string_view body, bool isWholeBody)
{
    const std::uint64_t line = hashBytes(head.method_ + " " + head.target_, hashBytes(caller.value()));
    if (isWholeBody) {
        return Fingerprint(hashBytes(body, line));
    }
    const std::string length = head.hasLength_ ? std::to_string(head.length_) : std::string("chunked");
    return Fingerprint(hashBytes(length, hashBytes(body.substr(0, MaxReplayableBodyBytes), line)));
}

} // namespace radishford
