#include "decisions/memory_shares.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>

using namespace bilberrytally::decisions;

namespace
{
constexpr std::uint64_t mb = 1U << 20U;
constexpr std::array all_uses{
    memory_use::clients, memory_use::calls, memory_use::responses,
    memory_use::answers};

std::uint64_t& part_of(held_bytes& held, memory_use use)
{
    switch (use)
    {
    case memory_use::clients:
        return held.clients;
    case memory_use::calls:
        return held.calls;
    case memory_use::responses:
        return held.responses;
    case memory_use::answers:
        return held.answers;
    }
    return held.clients;
}
} // namespace

TEST_CASE("without a limit there is always room")
{
    const memory_shares shares(0);
    CHECK(shares.has_room(memory_use::calls, UINT32_MAX, {1, 2, 3, 4}));
    CHECK(shares.allows_large_client(UINT32_MAX));
}

TEST_CASE("a single message of the largest size passes while little is held")
{
    const memory_shares shares(160 * mb);
    CHECK(shares.has_room(memory_use::calls, 64 * mb, {}));
    CHECK(shares.has_room(memory_use::answers, 64 * mb, {5 * mb, 0, 0, 0}));
    CHECK_FALSE(
        shares.has_room(memory_use::calls, 64 * mb, {0, 20 * mb, 0, 0}));
    CHECK_FALSE(
        shares.has_room(memory_use::calls, 64 * mb, {64 * mb, 0, 0, 0}));
    CHECK_FALSE(shares.has_room(memory_use::calls, 100 * mb, {}));
}

TEST_CASE("a use keeps a share whatever the others hold")
{
    // Two nodes that send to each other would wait for each other otherwise.
    const memory_shares shares(160 * mb);
    const held_bytes held{74 * mb, 0, 40 * mb, 40 * mb};
    CHECK(shares.has_room(memory_use::calls, 5 * mb, held));
    CHECK_FALSE(shares.has_room(memory_use::calls, 6 * mb, held));
}

TEST_CASE("small messages have room when large ones have none")
{
    const memory_shares shares(160 * mb);
    const held_bytes held{0, 40 * mb, 0, 0};
    CHECK(shares.has_room(memory_use::calls, 10'000, held));
    CHECK_FALSE(shares.has_room(memory_use::calls, 100'000, held));
}

TEST_CASE("whatever is admitted in any order stays under the memory")
{
    constexpr std::uint64_t machine = 160 * mb;
    const memory_shares shares(machine);
    const bool held_bound = rc::check(
        "random admissions and releases",
        [&]
        {
            held_bytes held;
            const auto steps = *rc::gen::container<
                std::vector<std::pair<std::size_t, std::uint64_t>>>(
                rc::gen::pair(
                    rc::gen::inRange<std::size_t>(0, all_uses.size()),
                    rc::gen::inRange<std::uint64_t>(1, 64 * mb)));
            for (const auto& [index, bytes] : steps)
            {
                const auto use = all_uses.at(index);
                auto& part = part_of(held, use);
                if (shares.has_room(use, bytes, held))
                {
                    part += bytes;
                }
                else
                {
                    part /= 2;
                }
                RC_ASSERT(held.total() <= machine * 3 / 4);
            }
        });
    CHECK(held_bound);
}
