// Result type of the core: a value or an error, without exceptions.
#pragma once

#include "model/ErrorKind.h"

#include <cassert>
#include <string>
#include <utility>
#include <variant>

namespace sapphiredale {

/// An error kind with the detail of this occurrence, readable by the person who caused it.
struct Error {
    ErrorKind m_kind = ErrorKind::Internal;
    std::string m_detail;

    friend bool operator==(const Error&, const Error&) = default;
};

/// Value of a function that returns nothing but may fail.
using Unit = std::monostate;

template <typename T> using Result = std::variant<T, Error>;

template <typename T> bool succeeded(const Result<T>& result) { return result.index() == 0; }

/// The value of a successful result.
template <typename T> const T& valueOf(const Result<T>& result)
{
    assert(succeeded(result));
    return *std::get_if<0>(&result);
}

template <typename T> T&& valueOf(Result<T>&& result)
{
    assert(succeeded(result));
    return std::move(*std::get_if<0>(&result));
}

/// The error of a failed result.
template <typename T> const Error& errorOf(const Result<T>& result)
{
    assert(!succeeded(result));
    return *std::get_if<1>(&result);
}

} // namespace sapphiredale
