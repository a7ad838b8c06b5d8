#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "base/error.hpp"
#include "base/guarded.hpp"
#include "base/hash.hpp"
#include "base/time.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally::base;

TEST_CASE("time arithmetic and order")
{
    const time_ms start{100};
    CHECK(start + duration_ms{50} == time_ms{150});
    CHECK(time_ms{150} - start == duration_ms{50});
    CHECK(duration_ms{2} * 3 == duration_ms{6});
    CHECK(now() <= now());
}

TEST_CASE("boundaries between parts change a hash")
{
    CHECK(hash_parts({"ab", "c"}) != hash_parts({"a", "bc"}));
    CHECK(hash_parts({"a"}) != hash_parts({"a", ""}));
    CHECK(to_hex(255) == "00000000000000ff");
}

TEST_CASE("the text of an error starts with its place")
{
    const auto text = handle(
        []() -> result<std::string> { return fail("file: key", "missing"); },
        [](const error& failure) { return failure.text(); });
    CHECK(text == "file: key: missing");
}

TEST_CASE("locks nest in ascending rank and the rank is restored")
{
    guarded<int, 1> outer(1);
    guarded<int, 2> inner(2);
    const int sum = outer.with(
        [&](int a) { return inner.with([&](int b) { return a + b; }); });
    CHECK(sum == 3);
    CHECK(held_lock_rank == 0);
}
