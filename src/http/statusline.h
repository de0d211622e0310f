#pragma once

#include <cstddef>

namespace cowsliphead
{

/// Checks the first line of a response, where http_parser and libevent are lenient: they take any version, a status of any number of digits, and
/// libevent whatever follows the digits. Thread safety: owner task only.
class StatusLine
{
public:
    /// Adds the next character of the line. Returns false if the line is not one of HTTP/1.0 or HTTP/1.1, or if its status is not one of three
    /// digits. No other version of this form was ever defined.
    bool add(char character);

    /// True if the line may end here.
    bool mayEnd() const;

    /// The status. Precondition: mayEnd().
    int status() const
    {
        return status_;
    }

private:
    std::size_t length_ = 0;
    int status_ = 0;
};

} // namespace cowsliphead
