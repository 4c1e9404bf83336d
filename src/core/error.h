// Exception with a result code.
#pragma once

#include "core/result_code.h"

#include <stdexcept>
#include <string>

namespace radishford {

// Thrown for every failure that has a result code.
class Error : public std::runtime_error
{
public:
    // Builds the message from the code's number, its name, the subject (such as a key or a file) and the explanation of the code.
    Error(ResultCode code, const std::string &subject)
        : std::runtime_error(std::to_string(numberOf(code)) + " " + std::string(resultCodeInfo(code).name_) + ": " + subject + ": "
                             + std::string(resultCodeInfo(code).text_))
        , code_(code)
    {
    }

    // The result code.
    [[nodiscard]] ResultCode code() const
    {
        return code_;
    }

private:
    // The result code.
    ResultCode code_;
};

} // namespace radishford
