#include "decisions/document_store.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bilberrytally;
using decisions::document;
using decisions::document_store;

namespace
{
document make_ticket(
    std::uint64_t number, const std::vector<std::string>& services, int slots)
{
    auto json = nlohmann::json{{"number", number}, {"services", {}}};
    for (const auto& name : services)
    {
        json["services"].push_back(
            {{"name", name}, {"team", "t"}, {"slots", slots}});
    }
    return base::handle(
        [&] { return document::parse(json.dump()); },
        [](const base::error&) { return document{}; });
}

std::string state_of(const document_store& store)
{
    std::string text = std::to_string(store.content_hash());
    for (const auto& name : store.services())
    {
        text += " " + name + "=" + std::to_string(store.ticket_number(name)) +
                ":" + std::to_string(store.policy(name)->slots);
    }
    return text;
}
} // namespace

TEST_CASE("merging is commutative, idempotent and never goes back")
{
    const bool held = rc::check(
        "any order of deliveries with duplicates and losses, then a second "
        "round, gives one state",
        []
        {
            const auto count = *rc::gen::inRange<std::uint64_t>(1, 12);
            std::vector<document> tickets;
            for (std::uint64_t i = 0; i < count; ++i)
            {
                const auto number = *rc::gen::inRange<std::uint64_t>(1, 6);
                const auto mask = *rc::gen::inRange(1, 8);
                std::vector<std::string> names;
                for (int bit = 0; bit < 3; ++bit)
                {
                    if ((mask >> bit) % 2 != 0)
                    {
                        names.push_back("s" + std::to_string(bit));
                    }
                }
                tickets.push_back(
                    make_ticket(number, names, *rc::gen::inRange(1, 4)));
            }
            document_store forward;
            for (const auto& ticket : tickets)
            {
                forward.merge(ticket);
            }
            auto shuffled = *rc::gen::container<std::vector<std::size_t>>(
                20, rc::gen::inRange<std::size_t>(0, tickets.size()));
            document_store other;
            std::uint64_t last = 0;
            for (const auto i : shuffled)
            {
                other.merge(tickets[i]);
                RC_ASSERT(other.ticket_number("s0") >= last);
                last = other.ticket_number("s0");
            }
            for (auto i = tickets.size(); i > 0; --i)
            {
                other.merge(tickets[i - 1]);
                other.merge(tickets[i - 1]);
            }
            RC_ASSERT(state_of(forward) == state_of(other));
        });
    CHECK(held);
}

TEST_CASE("two texts with one number have one winner and are reported")
{
    const auto first = make_ticket(5, {"a"}, 1);
    const auto second = make_ticket(5, {"a"}, 2);
    document_store left;
    left.merge(first);
    CHECK(left.merge(second).conflicts == std::vector<std::string>{"a"});
    document_store right;
    right.merge(second);
    CHECK(right.merge(first).conflicts == std::vector<std::string>{"a"});
    CHECK(state_of(left) == state_of(right));
}

TEST_CASE("a store finds the documents that another one lacks")
{
    document_store one;
    document_store two;
    for (std::uint64_t i = 1; i < 200; ++i)
    {
        one.merge(make_ticket(i, {"s" + std::to_string(i)}, 1));
    }
    two.merge(make_ticket(7, {"s7"}, 1));
    std::vector<std::uint32_t> differing;
    const auto left = one.bucket_hashes();
    const auto right = two.bucket_hashes();
    for (std::uint32_t i = 0; i < left.size(); ++i)
    {
        if (left[i] != right[i])
        {
            differing.push_back(i);
        }
    }
    for (const auto& text : one.texts_not_known(differing, two.ids(differing)))
    {
        base::handle(
            [&]() -> base::result<void>
            {
                BOOST_LEAF_AUTO(parsed, document::parse(text));
                two.merge(parsed);
                return {};
            },
            [](const base::error&) { FAIL("a stored text must parse"); });
    }
    CHECK(one.content_hash() == two.content_hash());
}

TEST_CASE("a superseded document is dropped")
{
    document_store store;
    const auto old = make_ticket(1, {"a", "b"}, 1);
    store.merge(old);
    store.merge(make_ticket(2, {"a"}, 2));
    CHECK(store.holds(old.id()));
    store.merge(make_ticket(3, {"b"}, 3));
    CHECK_FALSE(store.holds(old.id()));
}
