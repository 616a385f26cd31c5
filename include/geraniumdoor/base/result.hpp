#pragma once

#include <utility>
#include <variant>

namespace geraniumdoor
{

/// Either a value or the error of one layer. T and E are different types.
template<class T, class E>
using result = std::variant<T, E>;

/// Value of a result that carries no data.
struct done
{
    auto operator<=>(const done&) const = default;
};

template<class T, class E>
bool is_ok(const result<T, E>& r)
{
    return r.index() == 0;
}

/// Precondition: is_ok(r).
template<class T, class E>
T& value_of(result<T, E>& r)
{
    return std::get<0>(r);
}

template<class T, class E>
const T& value_of(const result<T, E>& r)
{
    return std::get<0>(r);
}

template<class T, class E>
T&& value_of(result<T, E>&& r)
{
    return std::get<0>(std::move(r));
}

/// Precondition: !is_ok(r).
template<class T, class E>
const E& error_of(const result<T, E>& r)
{
    return std::get<1>(r);
}

} // namespace geraniumdoor
