#pragma once

#include <cstdint>
#include <string_view>

namespace bilberrytally::base
{
//! Says whether a request may have run at a backend server.
enum class verdict : std::uint32_t
{
    ran,          //!< It ran; the answer is whole.
    not_run,      //!< It provably did not run.
    may_have_run, //!< Neither can be proved.
};

//! Name as used in headers, logs and metrics.
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
