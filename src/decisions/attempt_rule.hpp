#pragma once

#include "base/verdict.hpp"
#include "schema/messages.hpp"

#include <cstdint>

namespace bilberrytally::decisions
{
//! How the attempts of one request went so far.
struct attempt_history
{
    //! Attempts that may have reached a backend server.
    std::uint32_t arrivals{0};
    //! Attempts that a node refused before its backend server saw them.
    std::uint32_t refusals{0};

    bool operator==(const attempt_history&) const = default;
};

//! What a request allows.
struct attempt_limits
{
    //! May run more than once.
    bool repeatable{false};
    //! Backend servers to which it may be sent.
    std::uint32_t max_attempts{1};

    bool operator==(const attempt_limits&) const = default;
};

//! How to go on after an attempt.
enum class next_step
{
    finish,  //!< Give the caller this outcome.
    reroute, //!< Try another target; no backend server saw the request.
    retry,   //!< Try another target where the retry budget allows it.
};

//! True where the attempt that gave this answer may have reached a backend
//! server.
bool may_have_arrived(const schema::answer& answer);

//! Decides after each attempt of a request in a fleet without a context that
//! is shared along a chain of calls. Bounds the retries of a chain: a failure
//! that calls further down caused has been retried there.
next_step after_attempt(
    const schema::answer& answer, const attempt_limits& limits,
    const attempt_history& history);
} // namespace bilberrytally::decisions
