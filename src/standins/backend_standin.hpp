#pragma once

#include "http/http_client.hpp"
#include "http/http_server.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace bilberrytally::standins
{
//! Settings of a stand-in backend server.
struct backend_settings
{
    std::string instance;
    std::string host{"127.0.0.1"};
    std::uint32_t port{0};
    //! Caller port of the own node, for calls down the graph.
    std::uint32_t node_port{0};
    std::uint32_t slots{20};
    //! Requests waiting for a slot; more are shed with 503.
    std::uint32_t queue{100};
    //! File to which each start and end of an execution is appended.
    std::string record;
};

//! Runs requests as their query says: ms, size, fail, crash, hang_up, chain
//! (services separated by dots) and fan. /control changes its behaviour:
//! slow (factor), fail, health (status).
class backend_standin
{
public:
    backend_standin(asio::io_context& context, backend_settings settings);
    ~backend_standin();
    backend_standin(const backend_standin&) = delete;
    backend_standin& operator=(const backend_standin&) = delete;

    void on_request(
        std::uint64_t connection, const http::request& request,
        const http::respond& respond);
    void on_closed(std::uint64_t connection);

private:
    using query_map = std::map<std::string, std::string>;

    struct execution
    {
        std::uint64_t number{0};
        std::uint64_t connection{0};
        std::string id;
        query_map query;
        http::request request;
        http::respond respond;
        std::unique_ptr<asio::steady_timer> timer;
        std::uint32_t children_left{0};
        bool child_failed{false};
    };

    void control(const query_map& query, const http::respond& respond);
    void start(std::unique_ptr<execution> fresh);
    void on_worked(std::uint64_t number);
    void call_children(execution& item);
    void end(std::uint64_t number, std::uint32_t status);
    void start_waiting();
    void record(const char* kind, const std::string& id) const;

    asio::io_context& context;
    backend_settings settings;
    std::unique_ptr<http::http_client> client;
    std::map<std::uint64_t, std::unique_ptr<execution>> running;
    std::deque<std::unique_ptr<execution>> waiting;
    std::uint64_t next_number{1};
    double slow{1};
    bool fail{false};
    std::uint32_t health{200};
    int record_file{-1};
};
} // namespace bilberrytally::standins
