#pragma once

#include <cstddef>
#include <string_view>

#include "http/headlines.h"
#include "http/statusline.h"

namespace cowsliphead
{

/// Checks the bytes of a response's head before a lenient parser reads them. Names of fields and the range of the status are left to the reader
/// of the parsed head. Thread safety: owner task only.
class ResponseHeadCheck
{
public:
    /// Adds the next bytes of a response. Returns how many of them belong to its head; the check ignores the others.
    std::size_t add(std::string_view bytes);

    /// False once the bytes cannot be the head of a response.
    bool isValid() const
    {
        return isValid_;
    }

    /// True once the head is complete.
    bool isEnded() const
    {
        return lines_.isEnded();
    }

    /// The status. Precondition: isValid() and isEnded().
    int status() const
    {
        return statusLine_.status();
    }

private:
    bool addCharacter(char character);

    HeadLines lines_;
    StatusLine statusLine_;
    bool isStatusLineEnded_ = false;
    bool isValid_ = true;
};

} // namespace cowsliphead
