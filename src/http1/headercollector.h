#pragma once

#include <cstddef>
#include <string_view>

#include "http/httpheaders.h"

namespace cowsliphead
{

/// Joins the pieces in which a parser hands out header fields.
class HeaderCollector
{
public:
    /// Thread safety: owner task only.
    void addName(std::string_view piece)
    {
        if (isValueSeen_ || headers_.empty()) {
            headers_.emplace_back();
            isValueSeen_ = false;
        }
        headers_.back().first.append(piece);
        size_ += piece.size();
    }

    /// Precondition: a name was added. Thread safety: owner task only.
    void addValue(std::string_view piece)
    {
        isValueSeen_ = true;
        headers_.back().second.append(piece);
        size_ += piece.size();
    }

    /// Bytes collected since the last take(). Thread safety: owner task only.
    std::size_t size() const
    {
        return size_;
    }

    /// Hands out the fields and starts anew. Thread safety: owner task only.
    HttpHeaders take()
    {
        isValueSeen_ = false;
        size_ = 0;
        return std::exchange(headers_, {});
    }

private:
    HttpHeaders headers_;
    std::size_t size_ = 0;
    bool isValueSeen_ = false;
};

} // namespace cowsliphead
