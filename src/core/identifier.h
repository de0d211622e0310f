#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace cowsliphead
{

/// A name that cannot be mistaken for a name of another sort. Tag tells the sorts apart.
template <typename Tag>
class Identifier
{
public:
    Identifier() = default;

    /// Precondition: none; an empty value means "not set". Thread safety: as any value type.
    explicit Identifier(std::string value)
        : value_(std::move(value))
    {
    }

    /// The text as records and messages carry it. Thread safety: as any value type.
    const std::string &value() const
    {
        return value_;
    }

    /// True if no name is set. Thread safety: as any value type.
    bool isEmpty() const
    {
        return value_.empty();
    }

    auto operator<=>(const Identifier &) const = default;

private:
    std::string value_;
};

} // namespace cowsliphead

template <typename Tag>
struct std::hash<cowsliphead::Identifier<Tag>> {
    std::size_t operator()(const cowsliphead::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.value());
    }
};
