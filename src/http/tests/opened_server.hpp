#pragma once

#include "http/http_server.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <memory>
#include <utility>

namespace bilberrytally::http
{
//! A server that listens on a free port, for tests.
struct opened_server
{
    std::unique_ptr<http_server> server;
    std::uint32_t port{0};
};

//! Opens a server on the first free port from \p first_port on.
inline opened_server open_on_free_port(
    asio::io_context& context, std::uint32_t first_port,
    const request_handler& on_request, const closed_handler& on_closed)
{
    constexpr std::uint32_t tried_ports = 100;
    opened_server result;
    for (auto port = first_port;
         port < first_port + tried_ports && !result.server; ++port)
    {
        server_settings settings;
        settings.address = "127.0.0.1";
        settings.port = port;
        settings.max_body_bytes = 1000;
        settings.max_header_bytes = 1000;
        settings.read_timeout = {10000};
        auto opened =
            http_server::open(context, settings, on_request, on_closed);
        if (opened)
        {
            result = {std::move(opened.value()), port};
        }
    }
    REQUIRE(result.server);
    return result;
}
} // namespace bilberrytally::http
