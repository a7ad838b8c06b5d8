#pragma once

#include "base/error.hpp"
#include "http/http_client.hpp"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

//! The operators' program: commands over the nodes' administration API.
namespace bilberrytally::ctl
{
//! Where a node's administration API listens.
struct admin_address
{
    std::string host;
    std::uint32_t port{0};

    auto operator<=>(const admin_address&) const = default;

    std::string text() const;

    //! Reads host:port, comma separated.
    static base::result<std::vector<admin_address>>
    parse_list(const std::string& text);
};

//! Answer of one node.
struct admin_answer
{
    admin_address node;
    //! Nothing if the node gave no valid answer.
    std::optional<nlohmann::json> body;
    std::string failure;
};

//! Asks many nodes at once.
class admin_client
{
public:
    admin_client(std::vector<admin_address> nodes, std::string token);

    //! One answer per node, in the order of the nodes.
    std::vector<admin_answer>
    ask(const std::string& method, const std::string& path);

    const std::vector<admin_address>& addresses() const;

private:
    std::vector<admin_address> nodes;
    std::string token;
};
} // namespace bilberrytally::ctl
