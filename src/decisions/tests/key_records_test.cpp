#include "decisions/key_records.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace bilberrytally;
using namespace bilberrytally::decisions;

namespace
{
schema::answer make_answer(base::verdict verdict)
{
    schema::answer answer;
    answer.verdict = static_cast<std::uint32_t>(verdict);
    return answer;
}

bool runs(const key_decision& decision)
{
    return std::holds_alternative<run_now>(decision);
}
} // namespace

TEST_CASE("a key runs once, then its recorded answer is returned")
{
    key_records records(10, {1000});
    const auto sequence = records.issue({0});
    const keyed_send send{"k", "s", 1, 0};
    CHECK(runs(records.on_issued(sequence, send, {1})));
    CHECK(std::holds_alternative<join_running>(
        records.on_issued(sequence, send, {2})));
    records.finish(send, make_answer(base::verdict::ran));
    CHECK(std::holds_alternative<answer_recorded>(
        records.on_issued(sequence, send, {3})));
}

TEST_CASE("after the verdict not_run a later send may run")
{
    key_records records(10, {1000});
    const keyed_send first{"k", "s", 1, 1};
    CHECK(runs(records.on_client_key(first, {0})));
    records.finish(first, make_answer(base::verdict::not_run));
    const keyed_send second{"k", "s", 1, 2};
    CHECK(runs(records.on_client_key(second, {1})));
}

TEST_CASE(
    "a later send that arrives before the first keeps the first from running")
{
    key_records records(10, {1000});
    CHECK_FALSE(runs(records.on_client_key({"k", "s", 1, 2}, {0})));
    CHECK_FALSE(runs(records.on_client_key({"k", "s", 1, 1}, {1})));
}

TEST_CASE(
    "an unnumbered send with a client-supplied key counts as a later send")
{
    key_records records(10, {1000});
    CHECK_FALSE(runs(records.on_client_key({"k", "s", 1, 0}, {0})));
}

TEST_CASE("no issued key runs twice, whichever records are dropped in between")
{
    const bool held = rc::check(
        "random sends with few records",
        []
        {
            key_records records(5, {50});
            std::map<std::uint64_t, bool> issued;
            std::set<std::uint64_t> may_have_run;
            std::set<std::uint64_t> running;
            std::int64_t now = 0;
            for (int step = 0; step < 400; ++step)
            {
                now += *rc::gen::inRange(0, 8);
                if (issued.empty() || *rc::gen::inRange(0, 3) == 0)
                {
                    issued[records.issue({now})] = true;
                }
                const auto at =
                    *rc::gen::inRange<std::size_t>(0, issued.size());
                const auto sequence =
                    std::next(issued.begin(), static_cast<std::ptrdiff_t>(at))
                        ->first;
                const keyed_send send{
                    std::to_string(sequence), "s", sequence, 0};
                if (runs(records.on_issued(sequence, send, {now})))
                {
                    RC_ASSERT(running.count(sequence) == 0);
                    RC_ASSERT(may_have_run.count(sequence) == 0);
                    running.insert(sequence);
                }
                if (running.count(sequence) != 0 &&
                    *rc::gen::inRange(0, 2) == 0)
                {
                    running.erase(sequence);
                    const bool ran = *rc::gen::inRange(0, 3) != 0;
                    if (ran)
                    {
                        may_have_run.insert(sequence);
                    }
                    records.finish(
                        send,
                        make_answer(
                            ran ? base::verdict::ran : base::verdict::not_run));
                }
            }
            RC_ASSERT(records.size() <= 5U);
        });
    CHECK(held);
}
