#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace cowsliphead
{

/// A string identifier with a type of its own for each Tag, so that identifiers of different kinds cannot be mixed up. Thread safety:
/// as any value type.
template <typename Tag>
class Identifier
{
public:
    Identifier() = default;

    /// Precondition: none; an empty value means "not set".
    explicit Identifier(std::string value)
        : value_(std::move(value))
    {
    }

    /// The text as used in records and messages.
    const std::string &value() const
    {
        return value_;
    }

    /// True if no identifier is set.
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
