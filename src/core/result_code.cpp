// Looks up result codes in their table.
#include "core/result_code.h"

#include "table/result_codes.h"

#include <algorithm>

namespace radishford {

const ResultCodeInfo &resultCodeInfo(ResultCode code)
{
    const auto found = std::lower_bound(ResultCodeTable.begin(), ResultCodeTable.end(), code,
                                        [](const ResultCodeInfo &info, ResultCode wanted) { return info.code_ < wanted; });
    if (found == ResultCodeTable.end() || found->code_ != code) {
        return resultCodeInfo(ResultCode::BadRequest);
    }
    return *found;
}

std::string_view toText(Outcome outcome)
{
    constexpr std::array<std::string_view, 4> Texts{"answered", "not-run", "unknown", "config"};
    return Texts[static_cast<std::size_t>(outcome)];
}

bool provesNotRun(ResultCode code)
{
    return resultCodeInfo(code).outcome_ == Outcome::NotRun;
}

} // namespace radishford
