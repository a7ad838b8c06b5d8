#include "node/internal/memory_account.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally;
using decisions::memory_use;

namespace
{
constexpr std::uint64_t mb = 1U << 20U;
constexpr std::uint64_t machine_bytes = 160 * mb;
} // namespace

TEST_CASE("memory counts as held as long as its holder lives")
{
    asio::io_context context;
    node::memory_account memory(context, machine_bytes);
    auto first = memory.reserve(memory_use::calls, 30 * mb);
    REQUIRE(first);
    CHECK(memory.held().calls == 30 * mb);
    CHECK_FALSE(memory.reserve(memory_use::calls, 20 * mb));
    CHECK(memory.reserve(memory_use::answers, 20 * mb));
    first.reset();
    CHECK(memory.held() == decisions::held_bytes{});
    CHECK(memory.reserve(memory_use::calls, 20 * mb));
}

TEST_CASE("unfinished responses count, and share with those that wait")
{
    // Guards against responses that get the same room twice.
    asio::io_context context;
    node::memory_account memory(context, machine_bytes);
    std::uint64_t unfinished = 0;
    memory.set_unfinished_responses([&] { return unfinished; });
    CHECK(memory.room_for_unfinished_responses() == 40 * mb);
    const auto waiting = memory.hold(memory_use::responses, 30 * mb);
    CHECK(memory.room_for_unfinished_responses() == 10 * mb);
    unfinished = 10 * mb;
    CHECK(memory.held().responses == 40 * mb);
    CHECK_FALSE(memory.reserve(memory_use::responses, 5 * mb));
    CHECK_FALSE(memory.allows_large_client());
    const auto more = memory.hold(memory_use::responses, 30 * mb);
    CHECK(memory.room_for_unfinished_responses() == 5 * mb);
}
