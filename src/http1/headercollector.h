#pragma once

#include <cstddef>
#include <string_view>

#include "http/httpheaders.h"

namespace cowsliphead
{

/// Assembles header fields from the fragments that a parser delivers. Thread safety: owner task only.
class HeaderCollector
{
public:
    /// Appends to the current field's name, or starts the next field if the current one has a value.
    void addName(std::string_view fragment)
    {
        if (hasValue_ || headers_.empty()) {
            headers_.emplace_back();
            hasValue_ = false;
        }
        headers_.back().first.append(fragment);
        size_ += fragment.size();
    }

    /// Appends to the current field's value. Precondition: a name was added.
    void addValue(std::string_view fragment)
    {
        hasValue_ = true;
        headers_.back().second.append(fragment);
        size_ += fragment.size();
    }

    /// Bytes collected since the last takeHeaders().
    std::size_t size() const
    {
        return size_;
    }

    /// Memory that the collected fields occupy, in bytes. A field without a value occupies far more than it has bytes.
    std::size_t memory() const
    {
        return size_ + headers_.capacity() * sizeof(HttpHeaders::value_type);
    }

    /// Returns the collected fields and resets the collector.
    HttpHeaders takeHeaders()
    {
        hasValue_ = false;
        size_ = 0;
        return std::exchange(headers_, {});
    }

private:
    HttpHeaders headers_;
    std::size_t size_ = 0;
    bool hasValue_ = false;
};

} // namespace cowsliphead
