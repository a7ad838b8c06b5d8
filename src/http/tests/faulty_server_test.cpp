#include "http/tests/raw_server.hpp"
#include "http/tests/running_client.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally::http;

namespace
{
//! Statement of a server that it has not run the request.
std::string refusal(const std::string& id_header)
{
    return "HTTP/1.1 503 Service Unavailable\r\n" + id_header +
           "not-executed: 1\r\ncontent-length: 0\r\n\r\n";
}
} // namespace

TEST_CASE("a response that ends within its head is no response")
{
    const std::string head = "HTTP/1.1 200 OK\r\nid: 1\r\nsignature: s\r\n"
                             "content-length: 12\r\n\r\n";
    for (const auto make : {http_client::make, http_client::make_pooled})
    {
        for (std::size_t length = 0; length <= head.size(); ++length)
        {
            raw_server server({{{head.substr(0, length), true}}});
            running_client client({}, make);
            const auto result = client.get(server.port(), "1");
            CAPTURE(length);
            CHECK(result.outcome == transfer_outcome::broken);
        }
    }
}

TEST_CASE("a refusal without an id is not taken for one of the next request")
{
    raw_server server(
        {{{answer("1", "one")}, {refusal("") + answer("2", "two")}}});
    running_client client;
    CHECK(client.get(server.port(), "1").content.body == "one");
    CHECK(client.get(server.port(), "2").outcome == transfer_outcome::broken);
}

TEST_CASE("a second copy of a refusal does not answer a request sent once more")
{
    raw_server server(
        {{{refusal("id: 1\r\n")}, {refusal("id: 1\r\n")}},
         {{answer("1", "ran")}}});
    running_client client;
    CHECK(client.get(server.port(), "1").content.status == 503);
    CHECK(client.get(server.port(), "1").content.body == "ran");
}
