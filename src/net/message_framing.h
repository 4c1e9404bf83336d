// Reads HTTP message heads, and detects heads that two parsers could interpret differently, as used for request smuggling.
#pragma once

#include "net/net.h"

#include <string_view>

namespace radishford {

// Returns the size of the message head with its blank line, within the bytes read so far; npos when the head is incomplete.
std::size_t findHeadEnd(std::string_view bytes);

// True when a header field continues on the next line. Such line folding is obsolete, and parsers disagree on it.
// `head` must not contain bytes of the body.
bool hasFoldedField(std::string_view head);

// Reads a message head of at most `limit` bytes into the parser; bytes of the body may remain in the buffer. The limit covers the head as a whole,
// while the parser's own limit covers each piece of it that is parsed at once.
template<typename Parser>
Task<error_code> readHead(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser, std::size_t limit)
{
    constexpr std::size_t ReadBytes = 4096;
    std::size_t parsedBytes = 0;
    error_code errorCode = http::error::need_more;
    while (!parser.is_header_done()) {
        if (buffer.size() > 0) {
            const std::size_t used = parser.put(buffer.data(), errorCode);
            buffer.consume(used);
            parsedBytes += used;
        }
        if (errorCode && errorCode != http::error::need_more) {
            co_return errorCode;
        }
        if (parser.is_header_done()) {
            break;
        }
        if (parsedBytes + buffer.size() >= limit) {
            co_return http::error::header_limit;
        }
        const std::size_t bytesRead = co_await stream.async_read_some(buffer.prepare(ReadBytes), asio::redirect_error(asio::use_awaitable, errorCode));
        buffer.commit(bytesRead);
        if (errorCode == asio::error::eof) {
            co_return parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
        }
        if (errorCode) {
            co_return errorCode;
        }
    }
    co_return error_code();
}

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
