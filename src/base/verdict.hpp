#pragma once

#include <cstdint>
#include <string_view>

namespace bilberrytally::base
{
//! Whether a request has run at a backend server. Decides whether it is safe
//! to send the request again.
enum class verdict : std::uint32_t
{
    ran,          //!< It ran, and the complete response was received.
    not_run,      //!< It certainly did not run.
    may_have_run, //!< Unknown; it must be assumed to have run.
};

//! Name of the verdict, as used in headers, logs and metrics.
constexpr std::string_view to_string(verdict value)
{
    switch (value)
    {
    case verdict::ran:
        return "ran";
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    }
    return "may_have_run";
}
} // namespace bilberrytally::base
