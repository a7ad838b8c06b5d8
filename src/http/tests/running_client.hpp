#pragma once

#include "http/http_client.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace bilberrytally::http
{
//! A pooled client with a worker thread of its own, for tests.
class running_client
{
public:
    //! Makes a client, for example http_client::make_pooled.
    using factory = std::unique_ptr<http_client> (*)(
        asio::io_context&, const client_limits&);

    explicit running_client(
        const client_limits& limits = {},
        factory make = http_client::make_pooled)
        : work(asio::make_work_guard(this->context)),
          client(make(this->context, limits)),
          worker([this] { this->context.run(); })
    {
    }

    ~running_client()
    {
        this->work.reset();
        this->context.stop();
        this->worker.join();
    }

    running_client(const running_client&) = delete;
    running_client& operator=(const running_client&) = delete;

    //! Sends a request with this id: a POST if it has a body, else a GET.
    std::future<transfer_result> start(
        std::uint32_t port, const std::string& id, base::duration_ms timeout,
        std::string body = {}, std::function<bool()> may_send = {})
    {
        transfer_request request;
        request.content.method = body.empty() ? "GET" : "POST";
        request.content.target = "/";
        request.content.headers = {{"id", id}};
        request.content.body = std::move(body);
        request.host = "127.0.0.1";
        request.port = port;
        request.response_id = {"id", id};
        request.timeout = timeout;
        request.may_send = std::move(may_send);
        auto done = std::make_shared<std::promise<transfer_result>>();
        this->client->start(
            std::move(request), [done](transfer_result outcome)
            { done->set_value(std::move(outcome)); });
        return done->get_future();
    }

    //! Sends a request and waits for its result.
    transfer_result
    get(std::uint32_t port, const std::string& id, std::string body = {})
    {
        constexpr base::duration_ms timeout{1000};
        return this->start(port, id, timeout, std::move(body)).get();
    }

    std::uint64_t held_bytes() const
    {
        return this->client->held_bytes();
    }

private:
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::unique_ptr<http_client> client;
    std::thread worker;
};
} // namespace bilberrytally::http
