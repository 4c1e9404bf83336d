// Names requests, so that those that crash backend servers are recognised when they come again.
#pragma once

#include "core/units_type.h"
#include "wire/frame_type.h"

#include <cstdint>
#include <string_view>

namespace radishford {

// Bodies that may be streamed are buffered up to this size, so that they can be sent again by a retry.
constexpr std::uint64_t MaxReplayableBodyBytes = std::uint64_t{512} << 10U;

// Hash of a request's caller, method, target and body. A body that is streamed is known only at its end, after the request has been handed over: its length,
// if it is stated, and its first MaxReplayableBodyBytes stand for it. Requests that agree in all these are refused together.
Fingerprint fingerprintOf(const RequestHead &head, const ServiceName &caller, std::string_view body, bool isWholeBody);

} // namespace radishford
