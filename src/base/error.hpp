#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <utility>

//! Building blocks shared by all modules: time, verdicts, errors, hashing.
namespace bilberrytally::base
{
//! An error message for an operator: where the problem is and what was
//! expected instead.
struct error
{
    //! Location of the problem: file, section and key, or the path within a
    //! document. Empty if unknown.
    std::string place;
    //! What is wrong and what was expected.
    std::string message;

    bool operator==(const error&) const = default;

    //! Formats the error as one line, "place: message", for logs and
    //! terminals.
    std::string text() const;
};

//! A value, or a base::error passed through Boost.LEAF.
template <class Value>
using result = boost::leaf::result<Value>;

//! Creates a base::error; return the id where a result is expected.
boost::leaf::error_id fail(std::string place, std::string message);

//! Calls \p function, which returns a result, and returns its value. On an
//! error, returns what \p on_error makes of the base::error.
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
