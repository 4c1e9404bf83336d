// Finds the end of an HTTP message head, and detects heads that two parsers could interpret differently, as used for request smuggling.
#pragma once

#include "net/net.h"

#include <string_view>

namespace radishford {

// Returns the size of the message head with its blank line, within the bytes read so far; npos when the head is incomplete.
std::size_t findHeadEnd(std::string_view bytes);

// True when a header field continues on the next line. Such line folding is obsolete, and parsers disagree on it.
// `head` must not contain bytes of the body.
bool hasFoldedField(std::string_view head);

// True when the transfer encoding is anything but a single "chunked". The end of the body is then not known.
template<typename Header>
bool hasUnsupportedTransferEncoding(const Header &header)
{
    const auto range = header.equal_range(http::field::transfer_encoding);
    if (range.first == range.second) {
        return false;
    }
    const bool isSingle = std::next(range.first) == range.second;
    return !isSingle || !beast::iequals(range.first->value(), "chunked");
}

} // namespace radishford
