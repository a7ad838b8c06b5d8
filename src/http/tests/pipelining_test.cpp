#include "http/tests/opened_server.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <mutex>
#include <thread>

// Guards against pipelined requests that wait for the response to the one
// before them, get their responses in the wrong order, or lose them to a
// response that closes the connection.

using namespace bilberrytally;
using asio::ip::tcp;

namespace
{
//! A server that keeps the requests it gets until the test responds to them.
class holding_server
{
public:
    holding_server() : work(asio::make_work_guard(this->context))
    {
        this->worker = std::thread([this] { this->context.run(); });
        constexpr std::uint32_t first_port = 23100;
        this->opened = http::open_on_free_port(
            this->context, first_port,
            [this](std::uint64_t, http::request request, http::respond respond)
            {
                const std::scoped_lock lock(this->mutex);
                this->held.emplace(request.target, std::move(respond));
            },
            [this](std::uint64_t)
            {
                const std::scoped_lock lock(this->mutex);
                ++this->closed;
            });
    }

    ~holding_server()
    {
        this->held.clear();
        this->opened.server->close();
        this->work.reset();
        this->context.stop();
        this->worker.join();
    }

    holding_server(const holding_server&) = delete;
    holding_server& operator=(const holding_server&) = delete;

    //! Waits until \p count requests are held.
    bool wait_for_requests(std::size_t count)
    {
        return this->wait([&] { return this->held.size() >= count; });
    }

    bool wait_for_close()
    {
        return this->wait([&] { return this->closed > 0; });
    }

    //! Responds to the request with this path; the path is the body.
    void respond(const std::string& path, bool close = false)
    {
        http::respond function;
        {
            const std::scoped_lock lock(this->mutex);
            function = this->held.at(path);
        }
        http::response response;
        response.status = 200;
        response.body = path;
        response.close = close;
        function(std::move(response));
    }

    std::uint32_t port() const
    {
        return this->opened.port;
    }

private:
    template <class Condition>
    bool wait(Condition condition)
    {
        constexpr int attempts = 500;
        for (int i = 0; i < attempts; ++i)
        {
            {
                const std::scoped_lock lock(this->mutex);
                if (condition())
                {
                    return true;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread worker;
    std::mutex mutex;
    std::map<std::string, http::respond> held;
    int closed{0};
    http::opened_server opened;
};

//! A caller that sends several requests at once and reads the responses.
class pipelining_caller
{
public:
    explicit pipelining_caller(std::uint32_t port) : socket(this->context)
    {
        this->socket.connect(
            {asio::ip::make_address("127.0.0.1"),
             static_cast<std::uint16_t>(port)});
    }

    void send(int first, int last)
    {
        std::string bytes;
        for (int i = first; i <= last; ++i)
        {
            bytes +=
                "GET /" + std::to_string(i) + " HTTP/1.1\r\nhost: h\r\n\r\n";
        }
        asio::write(this->socket, asio::buffer(bytes));
    }

    //! Body of the next response: the path of its request.
    std::string read()
    {
        const auto head =
            asio::read_until(this->socket, this->buffer, "\r\n\r\n");
        this->buffer.consume(head);
        constexpr std::size_t body_bytes = 2;
        if (this->buffer.size() < body_bytes)
        {
            asio::read(
                this->socket, this->buffer,
                asio::transfer_exactly(body_bytes - this->buffer.size()));
        }
        std::string body(body_bytes, ' ');
        this->buffer.sgetn(body.data(), body_bytes);
        return body;
    }

    //! True if the server has closed the connection.
    bool is_closed()
    {
        char byte = 0;
        std::error_code error;
        this->socket.read_some(asio::buffer(&byte, 1), error);
        return error == asio::error::eof;
    }

    void close()
    {
        this->socket.close();
    }

private:
    asio::io_context context;
    tcp::socket socket;
    asio::streambuf buffer;
};
} // namespace

TEST_CASE("pipelined requests are handled at once and answered in order")
{
    holding_server server;
    pipelining_caller caller(server.port());
    caller.send(1, 6);
    REQUIRE(server.wait_for_requests(6));
    for (const auto* path : {"/6", "/2", "/4", "/1", "/3", "/5"})
    {
        server.respond(path);
    }
    for (const auto* path : {"/1", "/2", "/3", "/4", "/5", "/6"})
    {
        CHECK(caller.read() == path);
    }
}

TEST_CASE("requests beyond the limit are read once responses have been sent")
{
    holding_server server;
    pipelining_caller caller(server.port());
    caller.send(1, 9);
    REQUIRE(server.wait_for_requests(8));
    CHECK_FALSE(server.wait_for_requests(9));
    server.respond("/1");
    CHECK(caller.read() == "/1");
    CHECK(server.wait_for_requests(9));
}

TEST_CASE("a response that closes the connection discards no other response")
{
    holding_server server;
    pipelining_caller caller(server.port());
    caller.send(1, 3);
    REQUIRE(server.wait_for_requests(3));
    server.respond("/3", true);
    server.respond("/1", true);
    CHECK(caller.read() == "/1");
    server.respond("/2", true);
    CHECK(caller.read() == "/2");
    CHECK(caller.read() == "/3");
    CHECK(caller.is_closed());
}

TEST_CASE("a hang-up is noticed while pipelined requests are handled")
{
    holding_server server;
    pipelining_caller caller(server.port());
    caller.send(1, 3);
    REQUIRE(server.wait_for_requests(3));
    caller.close();
    CHECK(server.wait_for_close());
}
