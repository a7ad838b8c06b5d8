#include "http/tests/running_client.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <future>
#include <memory>
#include <thread>
#include <vector>

// Guards against a server that sends bytes without end: the transfer must end
// at a bound, not at its deadline, and other transfers must go on.

using namespace bilberrytally;
using asio::ip::tcp;
using http::running_client;
using http::transfer_outcome;

namespace
{
constexpr base::duration_ms long_timeout{30000};

//! Reads the head of one request, then sends \p start once and \p filler until
//! the client closes the connection.
class endless_server
{
public:
    endless_server(std::string start, std::string filler)
        : acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0}),
          worker([this, start = std::move(start), filler = std::move(filler)]
                 { this->serve(start, filler); })
    {
    }

    ~endless_server()
    {
        this->worker.join();
    }

    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    std::uint32_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

private:
    void serve(const std::string& start, const std::string& filler)
    {
        tcp::socket socket(this->context);
        this->acceptor.accept(socket);
        asio::streambuf buffer;
        std::error_code error;
        asio::read_until(socket, buffer, "\r\n\r\n", error);
        asio::write(socket, asio::buffer(start), error);
        while (!error)
        {
            asio::write(socket, asio::buffer(filler), error);
        }
    }

    asio::io_context context;
    tcp::acceptor acceptor;
    std::thread worker;
};

constexpr std::uint64_t one_mb = 1U << 20U;

//! Limits under which a single response may hold 4 MB.
http::client_limits small_limits()
{
    http::client_limits limits;
    limits.max_answer_bytes = 4 * one_mb;
    limits.max_held_bytes = 8 * one_mb;
    return limits;
}

//! Whether a transfer ends in a tenth of its time-out without a response.
void check_ends_at_bound(const std::string& start, const std::string& filler)
{
    endless_server server(start, filler);
    running_client client(small_limits());
    auto result = client.start(server.port(), "1", long_timeout);
    REQUIRE(
        result.wait_for(std::chrono::milliseconds(long_timeout.count / 10)) ==
        std::future_status::ready);
    const auto outcome = result.get().outcome;
    const bool refused = outcome == transfer_outcome::too_large ||
                         outcome == transfer_outcome::broken;
    CHECK(refused);
    CHECK(client.held_bytes() == 0);
}
} // namespace

TEST_CASE("a response head without end is closed at a bound")
{
    SUBCASE("one header without end")
    {
        check_ends_at_bound("HTTP/1.1 200 OK\r\nx: ", std::string(1000, 'a'));
    }
    SUBCASE("headers without end")
    {
        check_ends_at_bound("HTTP/1.1 200 OK\r\n", "x: aaaaaaaaaaaaaaaaa\r\n");
    }
    SUBCASE("a status line without end")
    {
        check_ends_at_bound("HTTP/1.1 200 ", std::string(1000, 'a'));
    }
    SUBCASE("interim responses without end")
    {
        check_ends_at_bound("", "HTTP/1.1 100 Continue\r\n\r\n");
    }
    SUBCASE("responses to other requests without end")
    {
        check_ends_at_bound(
            "", "HTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 1\r\n\r\nx");
    }
    SUBCASE("bytes that are no response")
    {
        check_ends_at_bound("", std::string(1000, '\0'));
    }
}

TEST_CASE("a response body without end is closed at a bound")
{
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nid: 1\r\ntransfer-encoding: chunked\r\n\r\n";
    SUBCASE("no length")
    {
        check_ends_at_bound(
            "HTTP/1.1 200 OK\r\nid: 1\r\n\r\n", std::string(1000, 'a'));
    }
    SUBCASE("chunks without end")
    {
        check_ends_at_bound(chunked, "4\r\naaaa\r\n");
    }
    SUBCASE("a chunk extension without end")
    {
        check_ends_at_bound(chunked + "1;", std::string(1000, 'a'));
    }
    SUBCASE("trailers without end")
    {
        check_ends_at_bound(
            chunked + "0\r\n", "x: aaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n");
    }
}

TEST_CASE("several bodies without end stay within the limit of all together")
{
    auto limits = small_limits();
    limits.max_answer_bytes = 1000 * one_mb;
    const std::string head = "HTTP/1.1 200 OK\r\nid: 1\r\n\r\n";
    endless_server first(head, std::string(1000, 'a'));
    endless_server second(head, std::string(1000, 'a'));
    running_client client(limits);
    auto one = client.start(first.port(), "1", long_timeout);
    auto two = client.start(second.port(), "1", long_timeout);
    std::uint64_t most_held = 0;
    while (one.wait_for(std::chrono::milliseconds(1)) !=
               std::future_status::ready ||
           two.wait_for(std::chrono::milliseconds(0)) !=
               std::future_status::ready)
    {
        most_held = std::max(most_held, client.held_bytes());
        REQUIRE(client.held_bytes() < limits.max_held_bytes + one_mb);
    }
    CHECK(one.get().outcome == transfer_outcome::too_large);
    CHECK(two.get().outcome == transfer_outcome::too_large);
    CHECK(most_held > 0);
}

// Guards against many responses that each stay below a bound of their own and
// together exceed the memory.
TEST_CASE("many bodies without end stay within the limit of all together")
{
    auto limits = small_limits();
    limits.max_answer_bytes = 1000 * one_mb;
    constexpr std::size_t many = 64;
    const std::string head = "HTTP/1.1 200 OK\r\nid: 1\r\n\r\n";
    std::vector<std::unique_ptr<endless_server>> servers;
    running_client client(limits);
    std::vector<std::future<http::transfer_result>> results;
    for (std::size_t i = 0; i < many; ++i)
    {
        // Each sends less than a sixteenth of the limit, and no more after it.
        servers.push_back(std::make_unique<endless_server>(
            head + std::string(400000, 'a'), std::string(1, 'a')));
        results.push_back(client.start(servers.back()->port(), "1", {3000}));
    }
    std::uint64_t most_held = 0;
    for (auto& result : results)
    {
        while (result.wait_for(std::chrono::milliseconds(1)) !=
               std::future_status::ready)
        {
            most_held = std::max(most_held, client.held_bytes());
        }
    }
    CHECK(most_held > limits.max_held_bytes / 2);
    CHECK(most_held < limits.max_held_bytes + one_mb);
}
