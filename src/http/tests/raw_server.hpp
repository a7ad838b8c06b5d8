#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bilberrytally::http
{
//! What the server sends after it has read the headers of a request.
struct server_step
{
    std::string bytes;
    //! Close the connection after the bytes.
    bool close{false};
    //! Close it with linger 0, which resets it.
    bool reset{false};
};

using connection_script = std::vector<server_step>;

//! A server that responds to each request with the next step of its
//! connection's script. It expects as many connections as there are scripts.
class raw_server
{
public:
    explicit raw_server(std::vector<connection_script> scripts)
        : acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0}),
          acceptor_thread([this, scripts = std::move(scripts)]
                          { this->accept_all(scripts); })
    {
    }

    ~raw_server()
    {
        this->acceptor_thread.join();
        for (auto& worker : this->workers)
        {
            worker.join();
        }
    }

    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    std::uint32_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

private:
    void accept_all(const std::vector<connection_script>& scripts)
    {
        for (const auto& script : scripts)
        {
            asio::ip::tcp::socket socket(this->context);
            this->acceptor.accept(socket);
            this->workers.emplace_back(serve, std::move(socket), script);
        }
    }

    static void
    serve(asio::ip::tcp::socket socket, const connection_script& script)
    {
        asio::streambuf buffer;
        std::error_code error;
        for (const auto& step : script)
        {
            const auto length =
                asio::read_until(socket, buffer, "\r\n\r\n", error);
            if (error)
            {
                return;
            }
            buffer.consume(length);
            asio::write(socket, asio::buffer(step.bytes), error);
            if (step.reset)
            {
                socket.set_option(asio::socket_base::linger(true, 0));
                // The destructor would not reset the connection.
                socket.close();
            }
            if (step.close || step.reset)
            {
                return;
            }
        }
        // Waits until the client closes the connection.
        asio::read_until(socket, buffer, "\r\n\r\n", error);
    }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::vector<std::thread> workers;
    std::thread acceptor_thread;
};

//! A complete response with an id and a body.
inline std::string answer(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nid: " + id +
           "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}
} // namespace bilberrytally::http
