// Network addresses as plain values, free of any socket library.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace radishford {

// An IPv4 address and port, in host byte order.
struct Address {
    // IP number.
    std::uint32_t ip_ = 0;
    // Port number.
    std::uint16_t port_ = 0;

    // Orders by IP number, then by port.
    auto operator<=>(const Address &) const = default;
};

// Reads "127.0.0.1:8080". Throws Error with BadAddress on anything else.
Address parseAddress(const std::string &text);

// Writes "127.0.0.1:8080".
std::string toText(const Address &address);

} // namespace radishford
