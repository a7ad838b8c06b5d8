#pragma once

#include "base/error.hpp"
#include "http/http_client.hpp"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

//! Implementation of bilberrytally-ctl, the operators' program: commands that
//! use the nodes' admin API.
namespace bilberrytally::ctl
{
//! Address of a node's admin API.
struct admin_address
{
    std::string host;
    std::uint32_t port{0};

    auto operator<=>(const admin_address&) const = default;

    //! host:port.
    std::string text() const;

    //! Parses a comma-separated list of host:port. An empty list or an invalid
    //! address is an error.
    static base::result<std::vector<admin_address>>
    parse_list(const std::string& text);
};

//! Response of one node.
struct admin_response
{
    admin_address node;
    //! Nothing if the node did not respond with status 200 and JSON.
    std::optional<nlohmann::json> body;
    //! Why there is no body.
    std::string failure;
};

//! Sends requests to the admin APIs of several nodes.
class admin_client
{
public:
    //! \p token is the bearer token for all nodes.
    admin_client(std::vector<admin_address> nodes, std::string token);

    //! Sends a request to all nodes concurrently and waits for the responses;
    //! a node that does not respond within 5 s counts as failed. Returns one
    //! response per node, in the order of the nodes.
    std::vector<admin_response>
    request_all(const std::string& method, const std::string& path);

    //! Addresses of the nodes.
    const std::vector<admin_address>& addresses() const;

private:
    std::vector<admin_address> nodes;
    std::string token;
};
} // namespace bilberrytally::ctl
