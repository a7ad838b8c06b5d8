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
    //! Instance id, written to the record.
    std::string instance;
    std::string host{"127.0.0.1"};
    std::uint32_t port{0};
    //! Caller port of the local node, for nested calls.
    std::uint32_t node_port{0};
    //! Largest number of requests that run concurrently.
    std::uint32_t slots{20};
    //! Largest number of requests that wait for a slot; further ones are shed
    //! with status 503.
    std::uint32_t queue{100};
    //! File to which the start, end and failure of each execution is appended;
    //! empty for none.
    std::string record_path;
};

//! A backend server that runs requests as their query says: id, ms (service
//! time), size (of the response body, in bytes), fail (with status 500), crash
//! (exit before the end), hang_up (exit after the end, without a response),
//! chain (services to call, separated by dots) and fan (nested calls per
//! service). /control changes its behaviour: slow (factor on service times),
//! fail, health (status of /health).
class backend_standin
{
public:
    backend_standin(asio::io_context& context, backend_settings settings);
    ~backend_standin();
    backend_standin(const backend_standin&) = delete;
    backend_standin& operator=(const backend_standin&) = delete;

    //! Handles a request of a connection; \p respond may be called later.
    void on_request(
        std::uint64_t connection, const http::request& request,
        const http::respond& respond);
    //! Cancels the waiting and running requests of a closed connection.
    void on_closed(std::uint64_t connection);

private:
    using query_map = std::map<std::string, std::string>;

    //! A request that waits or runs.
    struct execution
    {
        std::uint64_t number{0};
        std::uint64_t connection{0};
        std::string id;
        query_map query;
        http::request request;
        http::respond respond;
        std::unique_ptr<asio::steady_timer> timer;
        std::uint32_t nested_calls_left{0};
        bool nested_call_failed{false};
    };

    void control(const query_map& query, const http::respond& respond);
    void start(std::unique_ptr<execution> started);
    void on_service_time_over(std::uint64_t number);
    //! Calls the first service of the chain, fan times; the execution ends with
    //! the last of these calls.
    void start_nested_calls(execution& item);
    void end(std::uint64_t number, std::uint32_t status);
    void start_waiting();
    //! Appends a line to the record file.
    void record(const char* kind, const std::string& id) const;

    asio::io_context& context;
    backend_settings settings;
    std::unique_ptr<http::http_client> client;
    std::map<std::uint64_t, std::unique_ptr<execution>> running;
    std::deque<std::unique_ptr<execution>> waiting;
    std::uint64_t next_number{1};
    double slow_factor{1};
    bool fail_all{false};
    std::uint32_t health_status{200};
    int record_file{-1};
};
} // namespace bilberrytally::standins
