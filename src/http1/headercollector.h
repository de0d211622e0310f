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
    /// Starts the head of a message.
    void beginHead()
    {
        isInHead_ = true;
    }

    /// Appends to the current field's name, or starts the next field if the current one has a value. A field of a trailer section, which
    /// follows takeHeaders(), is discarded.
    void addName(std::string_view fragment)
    {
        if (!isInHead_) {
            return;
        }
        if (hasValue_ || headers_.empty()) {
            headers_.emplace_back();
            hasValue_ = false;
        }
        headers_.back().first.append(fragment);
        size_ += fragment.size();
    }

    /// Appends to the current field's value; discarded in a trailer section. Precondition: a name was added.
    void addValue(std::string_view fragment)
    {
        if (!isInHead_) {
            return;
        }
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

    /// Ends the head: returns the collected fields and resets the collector.
    HttpHeaders takeHeaders()
    {
        isInHead_ = false;
        hasValue_ = false;
        size_ = 0;
        return std::exchange(headers_, {});
    }

private:
    HttpHeaders headers_;
    std::size_t size_ = 0;
    bool hasValue_ = false;
    bool isInHead_ = false;
};

} // namespace cowsliphead
