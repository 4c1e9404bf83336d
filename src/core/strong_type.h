// Wrapper types for ids and units, so that values of different meaning cannot be mixed up.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace radishford {

// A value of type Rep whose meaning is given by Tag. Values with different tags can neither be compared nor converted.
template<typename Tag, typename Rep>
class StrongType
{
public:
    // The wrapped type, for generic code such as codecs.
    using Representation = Rep;

    // Holds the default value of the wrapped type.
    constexpr StrongType() = default;

    // Wraps a value.
    constexpr explicit StrongType(Rep value)
        : value_(std::move(value))
    {
    }

    // The wrapped value.
    [[nodiscard]] constexpr const Rep &value() const
    {
        return value_;
    }

    // Compares the wrapped values.
    constexpr auto operator<=>(const StrongType &) const = default;

private:
    // The wrapped value.
    Rep value_{};
};

// A strong type that also supports addition and subtraction.
template<typename Tag, typename Rep>
class Quantity : public StrongType<Tag, Rep>
{
public:
    using StrongType<Tag, Rep>::StrongType;

    // The sum of two quantities of the same unit.
    constexpr Quantity operator+(Quantity other) const
    {
        return Quantity(this->value() + other.value());
    }

    // The difference of two quantities of the same unit.
    constexpr Quantity operator-(Quantity other) const
    {
        return Quantity(this->value() - other.value());
    }

    // Adds to this quantity.
    constexpr Quantity &operator+=(Quantity other)
    {
        *this = *this + other;
        return *this;
    }

    // Subtracts from this quantity.
    constexpr Quantity &operator-=(Quantity other)
    {
        *this = *this - other;
        return *this;
    }

    // Compares the wrapped values.
    constexpr auto operator<=>(const Quantity &) const = default;
};

// Hash function for any strong type, for unordered containers.
struct StrongHash {
    // The hash of the wrapped value.
    template<typename Tag, typename Rep>
    std::size_t operator()(const StrongType<Tag, Rep> &value) const
    {
        return std::hash<Rep>()(value.value());
    }
};

} // namespace radishford
