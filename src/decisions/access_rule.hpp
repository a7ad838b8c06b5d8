#pragma once

#include "base/time.hpp"

#include <optional>

namespace bilberrytally::decisions
{
//! What a node does with a request in a fleet with workspaces.
enum class access_decision
{
    granted,
    unauthorized,   //!< The request needs a key and has none that is valid.
    maybe_outdated, //!< The key may have been added since this node's copy of
                    //!< the configuration was current.
    unproven,       //!< The key may have been removed since.
    unknown_parent, //!< It may be a nested call of a call that this process
                    //!< does not know.
};

//! Limits on the age of the configuration by which requests are judged.
class access_limits
{
public:
    //! Without limits on known keys, for nodes that need no proof.
    access_limits() = default;

    //! \p apply is the time within which a new configuration is in force at
    //! connected nodes; \p revocation the time after which a removed key must
    //! not be accepted by any node, 0 for none.
    static access_limits
    create(base::duration_ms apply, base::duration_ms revocation);

    //! True if a configuration of this age proves that a key does not exist.
    bool proves_absence(std::optional<base::duration_ms> age) const;
    //! True if a configuration of this age proves that a key is still valid.
    bool proves_validity(std::optional<base::duration_ms> age) const;
    //! Largest age at which a node may act on behalf of the fleet.
    base::duration_ms max_apply_age() const;

    bool operator==(const access_limits&) const = default;

private:
    base::duration_ms absence_age{1600};
    std::optional<base::duration_ms> validity_age;
};

//! A request as far as access depends on it.
struct access_question
{
    bool has_key{false};
    bool key_known{false};
    //! The request needs no key: its route is anonymous, or a backend server
    //! sent it while it serves another one.
    bool key_optional{false};
    //! The request names a parent call that this process does not know, but an
    //! earlier one may have passed on.
    bool parent_may_exist{false};
    //! Age of the proof that the node's configuration is the newest one.
    std::optional<base::duration_ms> proof_age;
};

//! Decides whether a request is served. A key that is sent must be valid, also
//! where none is needed.
access_decision
decide_access(const access_question& question, const access_limits& limits);
} // namespace bilberrytally::decisions
