#include "http/internal/connection_account.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace bilberrytally;
using http::connection_account;

namespace
{
constexpr std::uint64_t kilobyte = 1U << 10U;
constexpr std::uint64_t megabyte = 1U << 20U;

http::connection_limits
make_limits(std::uint64_t held_bytes, std::uint64_t connections = 0)
{
    http::connection_limits limits;
    limits.max_held_bytes = held_bytes;
    limits.max_connections = connections;
    return limits;
}

//! A connection without a socket that notes whether it was closed.
struct connection
{
    connection(connection_account& account, base::time_ms now)
        : entry(account.open([this] { this->closed = true; }, now))
    {
    }
    ~connection()
    {
        this->entry->release();
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    //! Receives bytes of a body that take as much memory.
    void receive(std::uint64_t bytes, base::time_ms now)
    {
        this->entry->begin_message();
        this->entry->begin_body();
        this->entry->add_parsed(bytes);
        this->entry->add_moved(bytes);
        this->entry->settle(now);
    }

    bool closed{false};
    connection_account::entry_ptr entry;
};
} // namespace

TEST_SUITE("connection_account")
{
    TEST_CASE("without limits nothing is closed or refused")
    {
        connection_account account;
        connection large(account, {0});
        large.receive(900 * megabyte, {0});
        account.check({1'000'000});
        CHECK_FALSE(large.closed);
        CHECK(large.entry->complete_request(900 * megabyte, {0}) != nullptr);
    }

    TEST_CASE("all that is held is released again")
    {
        connection_account account;
        {
            connection caller(account, {0});
            caller.receive(100 * kilobyte, {0});
            auto running = caller.entry->complete_request(kilobyte, {0});
            const auto unwritten = caller.entry->add_response(kilobyte);
            CHECK(account.usage().connections == 1);
            CHECK(account.usage().held_bytes > 2 * kilobyte);
            CHECK(account.usage().held_bytes < 100 * kilobyte);
        }
        CHECK(account.usage().held_bytes == 0);
        CHECK(account.usage().connections == 0);
    }

    TEST_CASE("a stalled connection is closed before one that moves")
    {
        connection_account account;
        account.set_limits(make_limits(megabyte));
        connection moving(account, {0});
        connection stalled(account, {0});
        stalled.receive(300 * kilobyte, {0});
        for (std::int64_t i = 1; i <= 30; ++i)
        {
            moving.receive(20 * kilobyte, {i * 100});
        }
        connection third(account, {3000});
        third.receive(200 * kilobyte, {3000});
        CHECK(stalled.closed);
        CHECK_FALSE(moving.closed);
        CHECK(account.usage().closed == 1);
        CHECK(account.usage().held_bytes <= megabyte);
    }

    TEST_CASE("single bytes are no progress")
    {
        connection_account account;
        account.set_limits(make_limits(megabyte));
        connection dripping(account, {0});
        dripping.receive(400 * kilobyte, {0});
        for (std::int64_t i = 1; i <= 50; ++i)
        {
            dripping.receive(1, {i * 100});
        }
        connection fresh(account, {5000});
        fresh.receive(400 * kilobyte, {5000});
        connection next(account, {5001});
        next.receive(400 * kilobyte, {5001});
        CHECK(dripping.closed);
        CHECK_FALSE(fresh.closed);
        CHECK_FALSE(next.closed);
    }

    TEST_CASE("the bytes of many connections stay within the limit")
    {
        connection_account account;
        account.set_limits(make_limits(10 * megabyte));
        std::vector<std::unique_ptr<connection>> crowd;
        for (std::int64_t i = 0; i < 1000; ++i)
        {
            crowd.push_back(
                std::make_unique<connection>(account, base::time_ms{i}));
            crowd.back()->receive(64 * kilobyte, {i});
            REQUIRE(account.usage().held_bytes <= 10 * megabyte);
        }
        CHECK(account.usage().closed > 800);
    }

    TEST_CASE("a single request larger than the limit is served")
    {
        connection_account account;
        account.set_limits(make_limits(10 * megabyte));
        connection large(account, {0});
        connection small(account, {0});
        for (std::int64_t i = 1; i <= 64; ++i)
        {
            large.receive(megabyte, {i});
        }
        CHECK_FALSE(large.closed);
        const auto running =
            large.entry->complete_request(128 * megabyte, {70});
        CHECK(running != nullptr);
        small.receive(kilobyte, {71});
        CHECK(small.entry->complete_request(kilobyte, {71}) != nullptr);
    }

    TEST_CASE("a second request larger than the limit is refused")
    {
        connection_account account;
        account.set_limits(make_limits(10 * megabyte));
        connection first(account, {0});
        const auto running = first.entry->complete_request(64 * megabyte, {1});
        REQUIRE(running != nullptr);
        connection second(account, {0});
        CHECK(second.entry->complete_request(64 * megabyte, {2}) == nullptr);
        CHECK(account.usage().refused == 1);
    }

    TEST_CASE("running requests are not closed for memory but refused")
    {
        connection_account account;
        account.set_limits(make_limits(megabyte));
        connection caller(account, {0});
        std::vector<std::unique_ptr<connection_account::charge>> running;
        bool refused = false;
        for (int i = 0; i < 100 && !refused; ++i)
        {
            auto next = caller.entry->complete_request(50 * kilobyte, {i});
            refused = next == nullptr;
            running.push_back(std::move(next));
        }
        CHECK(refused);
        CHECK_FALSE(caller.closed);
        running.clear();
        CHECK(caller.entry->complete_request(50 * kilobyte, {400}) != nullptr);
    }

    TEST_CASE("requests pipelined behind a large one do not pass the limit")
    {
        connection_account account;
        account.set_limits(make_limits(10 * megabyte));
        connection caller(account, {0});
        const auto running = caller.entry->complete_request(64 * megabyte, {1});
        REQUIRE(running != nullptr);
        caller.receive(megabyte, {2});
        CHECK(caller.closed);
    }

    TEST_CASE("connections over their limit are closed, the oldest idle first")
    {
        connection_account account;
        account.set_limits(make_limits(0, 80));
        std::vector<std::unique_ptr<connection>> crowd;
        for (std::int64_t i = 0; i < 81; ++i)
        {
            crowd.push_back(
                std::make_unique<connection>(account, base::time_ms{i}));
        }
        CHECK(crowd.front()->closed);
        CHECK_FALSE(crowd.back()->closed);
        CHECK(account.usage().connections == 70);
    }

    TEST_CASE("an unfinished head is closed after its time")
    {
        connection_account account;
        auto limits = make_limits(0);
        limits.head_timeout = {3000};
        limits.request_timeout = {60'000};
        account.set_limits(limits);
        connection idle(account, {0});
        connection reading(account, {0});
        reading.receive(kilobyte, {0});
        connection unfinished(account, {0});
        unfinished.entry->begin_message();
        unfinished.entry->settle({0});
        account.check({3001});
        CHECK(unfinished.closed);
        CHECK_FALSE(reading.closed);
        account.check({60'001});
        CHECK(reading.closed);
        CHECK_FALSE(idle.closed);
    }

    TEST_CASE("a socket that has closed is not closed again")
    {
        connection_account account;
        account.set_limits(make_limits(megabyte));
        connection gone(account, {0});
        gone.receive(500 * kilobyte, {0});
        gone.entry->disarm();
        connection other(account, {5000});
        other.receive(600 * kilobyte, {5000});
        CHECK_FALSE(gone.closed);
    }

    TEST_CASE("limiting starts and stops once")
    {
        connection_account account;
        account.set_limits(make_limits(megabyte));
        connection first(account, {0});
        first.receive(600 * kilobyte, {0});
        CHECK_FALSE(account.usage().limiting);
        connection second(account, {10});
        second.receive(600 * kilobyte, {10});
        CHECK(account.usage().limiting);
        account.check({1000});
        CHECK(account.usage().limiting);
        account.check({6000});
        CHECK_FALSE(account.usage().limiting);
    }
}
