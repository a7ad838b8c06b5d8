#include "http/tests/opened_server.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

// Guards against requests that two servers read in different ways: one hides
// another request, or a field evades what is done to it by its name.

using namespace bilberrytally;
using asio::ip::tcp;

namespace
{
struct request_case
{
    std::string name;
    std::string bytes;
};

//! A server that answers each request and counts them.
class counting_server
{
public:
    counting_server() : work(asio::make_work_guard(this->context))
    {
        this->worker = std::thread([this] { this->context.run(); });
        constexpr std::uint32_t first_port = 23200;
        this->opened = http::open_on_free_port(
            this->context, first_port,
            [this](auto, const auto&, const auto& respond)
            {
                ++this->count;
                http::response response;
                response.close = true;
                respond(std::move(response));
            },
            nullptr);
    }

    ~counting_server()
    {
        this->opened.server->close();
        this->work.reset();
        this->context.stop();
        this->worker.join();
    }

    counting_server(const counting_server&) = delete;
    counting_server& operator=(const counting_server&) = delete;

    //! Sends the bytes on a connection and reads until its end.
    std::string exchange(const std::string& bytes) const
    {
        asio::io_context client;
        tcp::socket socket(client);
        socket.connect(
            {asio::ip::make_address("127.0.0.1"),
             static_cast<std::uint16_t>(this->opened.port)});
        asio::write(socket, asio::buffer(bytes));
        std::string received;
        std::error_code end;
        asio::read(socket, asio::dynamic_buffer(received), end);
        return received;
    }

    int requests() const
    {
        return this->count;
    }

private:
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread worker;
    std::atomic<int> count{0};
    http::opened_server opened;
};

const std::string start = "POST /1 HTTP/1.1\r\nhost: h\r\n";
const std::string body = "content-length: 4\r\n\r\nbody";
const std::string chunks = "\r\n4\r\nbody\r\n0\r\n\r\n";
} // namespace

TEST_CASE("ambiguous requests are not handled")
{
    const std::vector<request_case> cases{
        {"blank before the colon of a coding",
         start + "transfer-encoding : chunked\r\n" + chunks},
        {"blank before the colon of a length",
         start + "content-length : 4\r\n\r\nbody"},
        {"blank before the colon of a stripped field",
         start + "connection : close\r\n" + body},
        {"blank before the colon of a field that the node sets",
         start + "x-caller-service : evil\r\n" + body},
        {"blank in a name", start + "bad name: x\r\n" + body},
        {"tab in a name", start + "bad\tname: x\r\n" + body},
        {"control byte in a name", start + "bad\x01name: x\r\n" + body},
        {"folded line behind the request line",
         "POST /1 HTTP/1.1\r\n x: y\r\nhost: h\r\n" + body},
        {"two hosts", start + "Host: other\r\n" + body},
        {"coding after chunked",
         start + "transfer-encoding: chunked, gzip\r\n" + chunks},
        {"coding before chunked",
         start + "transfer-encoding: gzip, chunked\r\n" + chunks},
        {"chunked twice",
         start +
             "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n" +
             chunks},
        {"length and chunks",
         start + "content-length: 4\r\ntransfer-encoding: chunked\r\n" +
             chunks},
        {"chunks and length",
         start + "transfer-encoding: chunked\r\ncontent-length: 4\r\n" +
             chunks},
        {"blank in the name of a trailer",
         start + "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nbad "
                 "name: x\r\n\r\n"},
        {"version 2.0", "POST /1 HTTP/2.0\r\nhost: h\r\n" + body},
    };
    const counting_server server;
    for (const auto& entry : cases)
    {
        CAPTURE(entry.name);
        const auto received = server.exchange(entry.bytes);
        CHECK(received.find(" 200 ") == std::string::npos);
    }
    CHECK(server.requests() == 0);
}

TEST_CASE("well-formed requests are handled")
{
    const std::vector<request_case> cases{
        {"length", start + body},
        {"chunks", start + "Transfer-Encoding: Chunked\r\n" + chunks},
        {"trailers", start + "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0"
                             "\r\nx-sum: 1\r\n\r\n"},
        {"no body", "GET /1 HTTP/1.1\r\nhost: h\r\n\r\n"},
        {"version 1.0", "GET /1 HTTP/1.0\r\nhost: h\r\n\r\n"},
        {"names with symbols", start + "x_odd.name!#$%&'*+-^`|~: x\r\n" + body},
    };
    const counting_server server;
    for (const auto& entry : cases)
    {
        CAPTURE(entry.name);
        CHECK(server.exchange(entry.bytes).starts_with("HTTP/1.1 200"));
    }
}
