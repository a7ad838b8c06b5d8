#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <utility>

//! Building blocks shared by all modules: time, verdicts, errors, hashing.
namespace bilberrytally::base
{
//! An error for people: where it happened and what was expected.
struct error
{
    //! File, section and key, or path within a document.
    std::string place;
    //! What is wrong and what was expected.
    std::string message;

    bool operator==(const error&) const = default;

    //! One line for logs and terminals.
    std::string text() const;
};

template <class Value>
using result = boost::leaf::result<Value>;

//! Starts an error result.
boost::leaf::error_id fail(std::string place, std::string message);

//! Turns a result into a value or calls \p on_error with the base::error.
template <class Function, class OnError>
auto handle(Function&& function, OnError&& on_error)
{
    return boost::leaf::try_handle_all(
        std::forward<Function>(function),
        [&](const error& failure) { return on_error(failure); },
        [&] {
            return on_error(error{"", "unknown error"});
        });
}
} // namespace bilberrytally::base
