#include "configuration/configuration_client.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace bilberrytally::configuration
{
namespace
{
constexpr std::string_view scheme = "http://";
constexpr std::uint64_t max_body_bytes = 64U << 20U;
constexpr std::uint32_t ok_status = 200;
constexpr std::uint32_t max_port = 65535;

watch_result to_outcome(const http::transfer_result& result)
{
    const bool answered = result.outcome == http::transfer_outcome::answered &&
                          result.content.status == ok_status;
    if (!answered)
    {
        return {
            std::nullopt, "no complete response, or a status other than 200"};
    }
    return base::handle(
        [&]() -> base::result<watch_result>
        {
            BOOST_LEAF_AUTO(changes, parse_changes(result.content.body));
            return watch_result{std::move(changes), {}};
        },
        [](const base::error& failure) {
            return watch_result{std::nullopt, failure.text()};
        });
}
} // namespace

base::result<change_set> parse_changes(const std::string& body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (json.is_discarded() || !json.is_object())
    {
        return base::fail("changes", "expected a JSON object");
    }
    if (!json.contains("index") || !json["index"].is_number_unsigned())
    {
        return base::fail("changes.index", "expected a whole number");
    }
    if (!json.contains("documents") || !json["documents"].is_array())
    {
        return base::fail("changes.documents", "expected a list");
    }
    change_set changes;
    changes.index = json["index"].get<std::uint64_t>();
    for (const auto& document : json["documents"])
    {
        // A value of the wrong type is passed on as JSON text and rejected
        // later, so that it does not hide the other documents.
        const bool is_string = document.is_string();
        changes.documents.push_back(
            is_string ? document.get<std::string>() : document.dump());
    }
    return changes;
}

base::result<std::unique_ptr<configuration_client>> configuration_client::make(
    asio::io_context& context, const std::string& url,
    base::duration_ms timeout)
{
    const auto colon = url.rfind(':');
    if (!url.starts_with(scheme) || colon <= scheme.size())
    {
        return base::fail("[platform] url", "expected http://IP:port");
    }
    std::uint32_t port = 0;
    const auto* end = url.data() + url.size();
    const auto [last, status] =
        std::from_chars(url.data() + colon + 1, end, port);
    if (status != std::errc{} || last != end || port == 0 || port > max_port)
    {
        return base::fail("[platform] url", "expected http://IP:port");
    }
    std::unique_ptr<configuration_client> client(new configuration_client);
    client->host = url.substr(scheme.size(), colon - scheme.size());
    client->port = port;
    client->timeout = timeout;
    // The 2 connections per host exceed what one watch at a time needs.
    client->client =
        http::http_client::make(context, {2, max_body_bytes, max_body_bytes});
    return client;
}

void configuration_client::watch(
    std::uint64_t index, base::duration_ms wait, on_changes done)
{
    http::transfer_request request;
    request.content.method = "GET";
    request.content.target = "/v1/changes?since=" + std::to_string(index) +
                             "&wait_ms=" + std::to_string(wait.count);
    request.host = this->host;
    request.port = this->port;
    request.timeout = wait + this->timeout;
    request.connect_timeout = this->timeout;
    this->client->start(
        std::move(request),
        [done = std::move(done)](const http::transfer_result& result)
        { done(to_outcome(result)); });
}
} // namespace bilberrytally::configuration
