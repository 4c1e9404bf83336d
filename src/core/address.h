// Network addresses as plain values, independent of any socket library.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace radishford {

// An IPv4 address and port, in host byte order.
struct Address {
    // IPv4 address; the first octet is in the highest byte.
    std::uint32_t ip_ = 0;
    // Port; zero where no address is set.
    std::uint16_t port_ = 0;

    // Orders by IP address, then by port.
    auto operator<=>(const Address &) const = default;
};

// Parses an address such as "127.0.0.1:8080". Throws Error with BadAddress on any other format.
Address parseAddress(const std::string &text);

// Formats an address as "127.0.0.1:8080".
std::string toText(const Address &address);

} // namespace radishford
