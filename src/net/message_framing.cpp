// Reads HTTP message heads, and detects heads that two parsers could interpret differently.
#include "net/message_framing.h"

namespace radishford {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadTerminator = "\r\n\r\n";

} // namespace

std::size_t findHeadEnd(std::string_view bytes)
{
    const std::size_t position = bytes.find(HeadTerminator);
    return position == std::string_view::npos ? position : position + HeadTerminator.size();
}

bool hasFoldedField(std::string_view head)
{
    for (std::size_t position = head.find(LineEnd); position != std::string_view::npos; position = head.find(LineEnd, position + LineEnd.size())) {
        const std::size_t lineStart = position + LineEnd.size();
        if (lineStart < head.size() && (head[lineStart] == ' ' || head[lineStart] == '\t')) {
            return true;
        }
    }
    return false;
}

} // namespace radishford
