// The exception that carries a numbered result.
#pragma once

#include "core/result_code.h"

#include <stdexcept>
#include <string>

namespace radishford {

// Thrown for every failure that has a numbered result.
class Error : public std::runtime_error
{
public:
    // Describes the failure by its code and what it was about, such as a key or a file.
    Error(ResultCode code, const std::string &subject)
        : std::runtime_error(std::to_string(numberOf(code)) + " " + std::string(infoOf(code).name_) + ": " + subject + ": " + std::string(infoOf(code).text_))
        , code_(code)
    {
    }

    // The numbered result.
    [[nodiscard]] ResultCode code() const
    {
        return code_;
    }

private:
    // The numbered result.
    ResultCode code_;
};

} // namespace radishford
