#include "decisions/access_rule.hpp"
#include "decisions/view_freshness.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally;
using namespace bilberrytally::decisions;

namespace
{
const auto limits = access_limits::create({2500}, {5000});

access_decision
decide(bool has_key, bool known, std::optional<std::int64_t> age_ms)
{
    std::optional<base::duration_ms> age;
    if (age_ms)
    {
        age = base::duration_ms{*age_ms};
    }
    return decide_access({has_key, known, false, false, age}, limits);
}
} // namespace

TEST_CASE("a key that may have been removed is not accepted")
{
    CHECK(decide(true, true, 0) == access_decision::granted);
    CHECK(decide(true, true, 3750) == access_decision::granted);
    CHECK(decide(true, true, 3751) == access_decision::unproven);
    CHECK(decide(true, true, std::nullopt) == access_decision::unproven);
}

TEST_CASE("a key that may have been added is not answered as unknown")
{
    CHECK(decide(true, false, 2000) == access_decision::unauthorized);
    CHECK(decide(true, false, 2001) == access_decision::maybe_outdated);
    CHECK(decide(false, false, 2001) == access_decision::maybe_outdated);
    CHECK(
        decide(false, false, std::nullopt) == access_decision::maybe_outdated);
}

TEST_CASE("a request that needs no key is served without any proof")
{
    const access_question nested{false, false, true, false, std::nullopt};
    CHECK(decide_access(nested, limits) == access_decision::granted);
    const access_question unknown_key{
        true, false, true, false, base::duration_ms{10}};
    CHECK(decide_access(unknown_key, limits) == access_decision::unauthorized);
}

// Guards against a final refusal of nested calls whose parent ran before the
// node was restarted.
TEST_CASE("a parent that may exist is neither granted nor final")
{
    for (const auto age :
         {std::optional<base::duration_ms>{{10}},
          std::optional<base::duration_ms>{}})
    {
        const access_question nested{false, false, false, true, age};
        CHECK(decide_access(nested, limits) == access_decision::unknown_parent);
    }
    const access_question keyed{true, false, false, true, base::duration_ms{1}};
    CHECK(decide_access(keyed, limits) == access_decision::unauthorized);
    const access_question anonymous{
        false, false, true, true, base::duration_ms{1}};
    CHECK(decide_access(anonymous, limits) == access_decision::granted);
}

TEST_CASE("without a revocation bound a known key needs no proof")
{
    const auto unbound = access_limits::create({2500}, {0});
    const access_question question{true, true, false, false, std::nullopt};
    CHECK(decide_access(question, unbound) == access_decision::granted);
}

TEST_CASE("a claim is no proof until the copy reaches its revision")
{
    view_freshness freshness;
    CHECK_FALSE(freshness.proven_at());
    freshness.on_claim({1, 10}, {1000});
    CHECK_FALSE(freshness.proven_at());
    freshness.on_revision({1, 9});
    CHECK_FALSE(freshness.proven_at());
    freshness.on_revision({1, 10});
    CHECK(freshness.proven_at() == base::time_ms{1000});
    // An older claim that arrives late proves nothing new.
    freshness.on_claim({1, 8}, {900});
    CHECK(freshness.proven_at() == base::time_ms{1000});
    freshness.on_claim({1, 10}, {1200});
    CHECK(freshness.proven_at() == base::time_ms{1200});
}

// Guards against access keys that are accepted as current on the word of a
// store that has been restored since.
TEST_CASE("a claim counts only within the epoch of the copy")
{
    view_freshness freshness;
    freshness.on_revision({1, 100});
    // The restored store is behind the copy in numbers, not in epochs.
    freshness.on_claim({2, 40}, {1000});
    CHECK_FALSE(freshness.proven_at());
    freshness.on_claim({1, 200}, {1100});
    freshness.on_revision({2, 40});
    CHECK(freshness.proven_at() == base::time_ms{1000});
    freshness.on_claim({1, 100}, {1200});
    CHECK(freshness.proven_at() == base::time_ms{1000});
}

TEST_CASE("claims of revisions that never arrive take bounded memory")
{
    view_freshness freshness;
    for (std::uint64_t revision = 1; revision <= 100; ++revision)
    {
        freshness.on_claim(
            {1, revision}, {static_cast<std::int64_t>(revision) * 10});
    }
    freshness.on_revision({1, 92});
    CHECK_FALSE(freshness.proven_at());
    freshness.on_revision({1, 100});
    CHECK(freshness.proven_at() == base::time_ms{1000});
}
