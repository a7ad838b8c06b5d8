#include "http/tests/raw_server.hpp"
#include "http/tests/running_client.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally;
using asio::ip::tcp;
using http::answer;
using http::raw_server;
using http::running_client;
using http::transfer_outcome;

TEST_CASE("a connection is used again for the next request")
{
    raw_server server({{{answer("1", "one")}, {answer("2", "two")}}});
    running_client client;
    CHECK(client.get(server.port(), "1").content.body == "one");
    CHECK(client.get(server.port(), "2").content.body == "two");
}

TEST_CASE("a late second response to an earlier request is skipped")
{
    raw_server server(
        {{{answer("1", "one")}, {answer("1", "again") + answer("2", "two")}},
         {{answer("3", "three")}}});
    running_client client;
    CHECK(client.get(server.port(), "1").content.body == "one");
    const auto second = client.get(server.port(), "2");
    CHECK(second.outcome == transfer_outcome::answered);
    CHECK(second.content.body == "two");
    CHECK(client.get(server.port(), "3").content.body == "three");
}

TEST_CASE("bytes after a response end the connection, not the next request")
{
    raw_server server(
        {{{answer("1", "one") + "garbage"}}, {{answer("2", "two")}}});
    running_client client;
    CHECK(client.get(server.port(), "1").content.body == "one");
    CHECK(client.get(server.port(), "2").content.body == "two");
}

TEST_CASE("a response without a length ends with its connection")
{
    const std::string head = "HTTP/1.1 200 OK\r\nid: 1\r\n\r\nwhole";
    SUBCASE("closed: complete")
    {
        raw_server server({{{head, true}}});
        running_client client;
        const auto result = client.get(server.port(), "1");
        CHECK(result.outcome == transfer_outcome::answered);
        CHECK(result.content.body == "whole");
    }
    SUBCASE("reset: incomplete")
    {
        raw_server server({{{head, false, true}}});
        running_client client;
        CHECK(
            client.get(server.port(), "1").outcome == transfer_outcome::broken);
    }
}

TEST_CASE("truncated and malformed responses are not passed on")
{
    const auto complete = answer("1", "some body");
    raw_server server(
        {{{complete.substr(0, complete.size() - 3), true}},
         {{"no answer\r\n\r\n"}}});
    running_client client;
    CHECK(client.get(server.port(), "1").outcome == transfer_outcome::broken);
    CHECK(client.get(server.port(), "1").outcome == transfer_outcome::broken);
}

TEST_CASE("an early response to a long body is used, but not its connection")
{
    raw_server server({{{answer("1", "early")}}, {{answer("2", "two")}}});
    running_client client;
    constexpr std::size_t long_body = 20U << 20U;
    CHECK(
        client.get(server.port(), "1", std::string(long_body, 'x'))
            .content.body == "early");
    CHECK(client.get(server.port(), "2").content.body == "two");
}

TEST_CASE("a request that is not wanted any more once connected is unsent")
{
    for (const auto make :
         {&http::http_client::make_pooled, &http::http_client::make})
    {
        raw_server server({{{answer("1", "one")}}});
        running_client client({}, make);
        const base::duration_ms timeout{1000};
        auto result =
            client.start(server.port(), "1", timeout, {}, [] { return false; });
        CHECK(result.get().outcome == transfer_outcome::unsent);
    }
}

TEST_CASE("a request to a server that does not listen is unsent")
{
    asio::io_context context;
    tcp::acceptor closed(context, {asio::ip::make_address("127.0.0.1"), 0});
    const auto port = closed.local_endpoint().port();
    closed.close();
    running_client client;
    CHECK(client.get(port, "1").outcome == transfer_outcome::unsent);
}

// Guards against requests that one after the other are sent on connections that
// have gone silent together.
TEST_CASE(
    "after a request without any response idle connections are distrusted")
{
    raw_server server(
        {{{answer("1", "one")}, {""}},
         {{answer("2", "two")}, {""}},
         {{answer("4", "four")}}});
    running_client client;
    auto first = client.start(server.port(), "1", {1000});
    auto second = client.start(server.port(), "2", {1000});
    CHECK(first.get().content.body == "one");
    CHECK(second.get().content.body == "two");
    const auto silent = client.start(server.port(), "3", {600}).get();
    CHECK(silent.outcome == transfer_outcome::timed_out);
    CHECK(client.get(server.port(), "4").content.body == "four");
}

// Guards against waiting until the deadline for a body that never comes.
TEST_CASE("a response that can have no body ends with its head")
{
    for (const std::string status : {"204 No Content", "304 Not Modified"})
    {
        raw_server server(
            {{{"HTTP/1.1 " + status + "\r\nid: 1\r\ncontent-length: 5\r\n\r\n"},
              {answer("2", "two")}}});
        running_client client;
        const auto result = client.get(server.port(), "1");
        CHECK(result.outcome == transfer_outcome::answered);
        CHECK(result.content.body.empty());
        CHECK(client.get(server.port(), "2").content.body == "two");
    }
}
