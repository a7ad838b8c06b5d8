#include "decisions/response_memory.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally::decisions;

namespace
{
constexpr std::uint64_t one_mb = 1U << 20U;
} // namespace

// Guards against downloads that together exceed the memory of a node.
TEST_CASE("calls with large responses are refused while there is no room")
{
    response_memory memory(16 * one_mb);
    CHECK(memory.reserve("download", 0) == 0);
    memory.on_response("download", 6 * one_mb);
    CHECK(memory.reserve("download", 0) == 6 * one_mb);
    CHECK(memory.reserve("download", 4 * one_mb) == 6 * one_mb);
    CHECK_FALSE(memory.reserve("download", 0));
    memory.release(6 * one_mb);
    CHECK_FALSE(memory.reserve("download", 5 * one_mb));
    CHECK(memory.reserve("download", 4 * one_mb) == 6 * one_mb);
}

TEST_CASE("calls with small responses go on when there is no room")
{
    response_memory memory(one_mb);
    memory.on_response("download", one_mb);
    CHECK(memory.reserve("download", 0) == one_mb);
    CHECK(memory.reserve("read", 50 * one_mb) == 0);
    CHECK(memory.has_room(1000, 50 * one_mb));
    CHECK_FALSE(memory.has_room(one_mb, one_mb / 2));
    memory.on_response("download", 10);
    CHECK(memory.reserve("download", one_mb) == 0);
}

TEST_CASE("a call whose response is over the limit is let on alone")
{
    response_memory memory(one_mb);
    memory.on_response("download", 2 * one_mb);
    CHECK_FALSE(memory.reserve("download", 1));
    CHECK(memory.reserve("download", 0) == 2 * one_mb);
    CHECK_FALSE(memory.reserve("download", 0));
}
