// Parses and formats network addresses.
#include "core/address.h"

#include "core/error.h"

#include <array>
#include <charconv>

namespace radishford {

namespace {

constexpr std::uint32_t MaxOctet = 255;
constexpr std::uint32_t MaxPort = 65535;
constexpr unsigned OctetBits = 8;

// Parses a decimal number at the cursor and moves the cursor past it. Throws Error with BadAddress when there is no number or it exceeds
// max.
std::uint32_t readNumber(const std::string &text, const char *&cursor, std::uint32_t max)
{
    const char *end = text.data() + text.size();
    std::uint32_t number = 0;
    const auto [next, problem] = std::from_chars(cursor, end, number);
    if (problem != std::errc() || number > max) {
        throw Error(ResultCode::BadAddress, text);
    }
    cursor = next;
    return number;
}

// Moves the cursor past the expected character. Throws Error with BadAddress when the text has another one or ends.
void expect(const std::string &text, const char *&cursor, char expected)
{
    if (cursor == text.data() + text.size() || *cursor != expected) {
        throw Error(ResultCode::BadAddress, text);
    }
    ++cursor;
}

} // namespace

Address parseAddress(const std::string &text)
{
    const char *cursor = text.data();
    Address address;
    constexpr std::array<char, 4> Separators{'.', '.', '.', ':'};
    for (const char separator : Separators) {
        address.ip_ = (address.ip_ << OctetBits) | readNumber(text, cursor, MaxOctet);
        expect(text, cursor, separator);
    }
    address.port_ = static_cast<std::uint16_t>(readNumber(text, cursor, MaxPort));
    if (cursor != text.data() + text.size()) {
        throw Error(ResultCode::BadAddress, text);
    }
    return address;
}

std::string toText(const Address &address)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string((address.ip_ >> static_cast<unsigned>(shift)) & MaxOctet);
        text += shift > 0 ? '.' : ':';
    }
    return text + std::to_string(address.port_);
}

} // namespace radishford
