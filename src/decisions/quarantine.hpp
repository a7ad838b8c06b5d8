#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberrytally::decisions
{
//! What to do with a request whose fingerprint may have been struck.
enum class quarantine_decision
{
    pass,      //!< No strike is known.
    trial,     //!< One strike: run it, no other struck request beside it.
    wait,      //!< One strike: another trial is running here.
    elsewhere, //!< One strike: another target runs the trial.
    refuse,    //!< Two strikes.
};

//! A row for operators.
struct quarantine_view
{
    std::uint64_t fingerprint{0};
    std::uint32_t strikes{0};

    bool operator==(const quarantine_view&) const = default;
};

//! Requests that were in flight when a backend server died. One strike allows
//! a trial on one target of the service, no other struck request beside it;
//! two strikes refuse the request for a while.
class quarantine
{
public:
    //! A backend server died while running the request; \p death names the
    //! death, as instance#number.
    void strike(
        std::uint64_t fingerprint, const std::string& death, base::time_ms now);

    //! Instances whose backend servers died while running the request.
    std::set<std::string> struck_instances(std::uint64_t fingerprint) const;

    //! The request completed on a trial.
    void clear(std::uint64_t fingerprint);

    //! \p trial_target is the target that may run a struck request.
    quarantine_decision check(
        std::uint64_t fingerprint, const std::string& self,
        const std::string& trial_target, base::time_ms now);

    //! Ends the trial that check() allowed.
    void end_trial(std::uint64_t fingerprint);

    //! True if the request has at least one strike.
    bool is_struck(std::uint64_t fingerprint, base::time_ms now) const;

    std::vector<quarantine_view> view(base::time_ms now) const;

private:
    struct entry
    {
        std::set<std::string> deaths;
        base::time_ms last_strike;
    };

    void forget_old(base::time_ms now);

    std::unordered_map<std::uint64_t, entry> entries;
    std::optional<std::uint64_t> on_trial;
};
} // namespace bilberrytally::decisions
