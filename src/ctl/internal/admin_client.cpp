#include "ctl/admin_client.hpp"

#include <charconv>
#include <sstream>

namespace bilberrytally::ctl
{
namespace
{
constexpr base::duration_ms request_timeout{5000};
constexpr std::uint32_t ok_status = 200;
constexpr std::uint32_t max_port = 65535;

admin_response
to_response(const admin_address& node, const http::transfer_result& result)
{
    admin_response response{node, std::nullopt, {}};
    if (result.outcome != http::transfer_outcome::answered)
    {
        response.failure = "no response";
        return response;
    }
    if (result.content.status != ok_status)
    {
        response.failure = "status " + std::to_string(result.content.status);
        return response;
    }
    auto body = nlohmann::json::parse(result.content.body, nullptr, false);
    if (body.is_discarded())
    {
        response.failure = "response is not JSON";
        return response;
    }
    response.body = std::move(body);
    return response;
}
} // namespace

std::string admin_address::text() const
{
    return this->host + ":" + std::to_string(this->port);
}

base::result<std::vector<admin_address>>
admin_address::parse_list(const std::string& text)
{
    std::vector<admin_address> nodes;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ','))
    {
        const auto colon = item.rfind(':');
        admin_address node;
        const auto* end = item.data() + item.size();
        const auto* first = item.data() + colon + 1;
        const bool valid = colon != std::string::npos && colon > 0 &&
                           std::from_chars(first, end, node.port).ptr == end &&
                           node.port > 0 && node.port <= max_port;
        if (!valid)
        {
            return base::fail(
                "--nodes", "expected host:port, not '" + item + "'");
        }
        node.host = item.substr(0, colon);
        nodes.push_back(std::move(node));
    }
    if (nodes.empty())
    {
        return base::fail("--nodes", "expected host:port, comma separated");
    }
    return nodes;
}

admin_client::admin_client(std::vector<admin_address> nodes, std::string token)
    : nodes(std::move(nodes)), token(std::move(token))
{
}

std::vector<admin_response>
admin_client::request_all(const std::string& method, const std::string& path)
{
    asio::io_context context;
    const auto client = http::http_client::make(context, {});
    std::vector<admin_response> responses(this->nodes.size());
    std::size_t pending = this->nodes.size();
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        http::transfer_request request;
        request.content.method = method;
        request.content.target = path;
        request.content.headers = {{"Authorization", "Bearer " + this->token}};
        request.host = this->nodes[i].host;
        request.port = this->nodes[i].port;
        request.timeout = request_timeout;
        client->start(
            std::move(request),
            [&, i](const auto& result)
            {
                responses[i] = to_response(this->nodes[i], result);
                if (--pending == 0)
                {
                    context.stop();
                }
            });
    }
    context.run();
    return responses;
}

const std::vector<admin_address>& admin_client::addresses() const
{
    return this->nodes;
}
} // namespace bilberrytally::ctl
