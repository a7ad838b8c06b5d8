#pragma once

#include "base/time.hpp"

namespace bilberrytally::decisions
{
//! Cost of a call to its caller at two places: the expected latency, with the
//! latency objective added for the share of the calls that fail.
struct zone_costs
{
    //! At the best target of the local availability zone, in ms.
    double local_ms{0};
    //! At the best target of any zone, in ms.
    double best_ms{0};

    auto operator<=>(const zone_costs&) const = default;
};

//! Share (0 to 1) of a service's calls that leave the local availability zone.
//!
//! Calls stay local as long as the local answer is expected well within
//! \p objective, even if another zone answers sooner: the caller gains nothing
//! from an earlier answer, and traffic between zones is slow and costly. Beyond
//! that the share grows with the expected delay. It has no threshold at which
//! all callers of a zone leave together, which would overload the other zones
//! and then come back together. A few calls stay local, so that the local
//! latency is measured.
//!
//! Meant for steady load on targets of unequal speed in different zones.
double share_leaving_zone(const zone_costs& costs, base::duration_ms objective);
} // namespace bilberrytally::decisions
