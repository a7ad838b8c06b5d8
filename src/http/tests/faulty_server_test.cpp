#include "http/tests/raw_server.hpp"
#include "http/tests/running_client.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally::http;

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
