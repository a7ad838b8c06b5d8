#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "http/http_client.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <thread>

using namespace bilberrytally;
using asio::ip::tcp;

namespace
{
//! A server that handles connections one after the other, following a script.
class scripted_server
{
public:
    //! For each connection, the number of requests it answers; it then reads
    //! one more request and closes without a response. With
    //! \p stops_listening_at_end, the server stops listening after the last
    //! connection.
    explicit scripted_server(
        std::vector<int> answers_per_connection,
        bool stops_listening_at_end = false)
        : connections(answers_per_connection.size()),
          acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0}),
          own_port(this->acceptor.local_endpoint().port()),
          worker(
              [this, stops_listening_at_end,
               script = std::move(answers_per_connection)]
              {
                  for (std::size_t i = 0; i < script.size(); ++i)
                  {
                      this->last_connection =
                          stops_listening_at_end && i + 1 == script.size();
                      this->serve(script[i]);
                  }
                  this->ended = true;
              })
    {
    }

    ~scripted_server()
    {
        // Connects to itself to end the rest of the script.
        this->stopping = true;
        asio::io_context own;
        for (std::size_t i = 0; i < this->connections && !this->ended; ++i)
        {
            tcp::socket socket(own);
            std::error_code ignored;
            socket.connect(
                {asio::ip::make_address("127.0.0.1"), this->own_port}, ignored);
        }
    }

    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    std::uint32_t port() const
    {
        return this->own_port;
    }

    std::atomic<int> requests{0};
    std::atomic<bool> stopping{false};
    std::atomic<bool> ended{false};

private:
    void serve(int answers)
    {
        tcp::socket socket(this->context);
        this->acceptor.accept(socket);
        asio::streambuf buffer;
        std::error_code error;
        for (int i = 0; i <= answers; ++i)
        {
            const auto length =
                asio::read_until(socket, buffer, "\r\n\r\n", error);
            if (error)
            {
                return;
            }
            buffer.consume(length);
            ++this->requests;
            if (i < answers)
            {
                const std::string answer =
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                asio::write(socket, asio::buffer(answer), error);
            }
        }
        if (this->last_connection)
        {
            this->acceptor.close();
        }
    }

    std::size_t connections;
    asio::io_context context;
    tcp::acceptor acceptor;
    std::uint16_t own_port;
    std::atomic<bool> last_connection{false};
    std::jthread worker;
};

struct client_runner
{
    client_runner()
        : work(asio::make_work_guard(this->context)),
          client(http::http_client::make(this->context, {10, 1000, 1000})),
          worker([this] { this->context.run(); })
    {
    }

    ~client_runner()
    {
        this->work.reset();
        this->context.stop();
    }

    http::transfer_result
    get(std::uint32_t port, base::duration_ms timeout = {2000})
    {
        std::promise<http::transfer_result> done;
        http::transfer_request request;
        request.content.method = "GET";
        request.content.target = "/";
        request.host = "127.0.0.1";
        request.port = port;
        request.timeout = timeout;
        this->client->start(
            std::move(request),
            [&](auto result) { done.set_value(std::move(result)); });
        return done.get_future().get();
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::unique_ptr<http::http_client> client;
    std::jthread worker;
};
} // namespace

TEST_CASE("a request on a reused connection that closes is not sent again")
{
    // The second connection would answer libcurl's automatic retry.
    scripted_server server({1, 5, 5});
    client_runner runner;
    CHECK(
        runner.get(server.port()).outcome == http::transfer_outcome::answered);
    CHECK(runner.get(server.port()).outcome == http::transfer_outcome::broken);
    CHECK(server.requests == 2);
    CHECK(
        runner.get(server.port()).outcome == http::transfer_outcome::answered);
}

TEST_CASE("a request whose reused connection breaks is not reported as unsent")
{
    // libcurl's automatic retry is refused; the outcome must not be "unsent",
    // since the server has received the first send.
    scripted_server server({1}, true);
    client_runner runner;
    CHECK(
        runner.get(server.port()).outcome == http::transfer_outcome::answered);
    CHECK(runner.get(server.port()).outcome == http::transfer_outcome::broken);
    CHECK(server.requests == 2);
}

TEST_CASE("a refused connection is unsent, no response is a timeout")
{
    client_runner runner;
    std::uint32_t closed_port = 0;
    {
        asio::io_context context;
        tcp::acceptor taken(context, {asio::ip::make_address("127.0.0.1"), 0});
        closed_port = taken.local_endpoint().port();
    }
    CHECK(runner.get(closed_port).outcome == http::transfer_outcome::unsent);
    asio::io_context context;
    tcp::acceptor silent(context, {asio::ip::make_address("127.0.0.1"), 0});
    CHECK(
        runner.get(silent.local_endpoint().port(), {100}).outcome ==
        http::transfer_outcome::timed_out);
}
