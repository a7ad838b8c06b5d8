#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "schema/messages.hpp"
#include "transport/delay_meter.hpp"
#include "transport/frame_codec.hpp"
#include "transport/message_codec.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bilberrytally;
using namespace bilberrytally::transport;

TEST_CASE("a sealed frame is read back and any change is detected")
{
    frame_codec codec("a key of the fleet");
    const std::string body = "body";
    const std::string payload = "payload";
    const frame_header header{3, 11, 7, 9, 77, 1234, 5678};
    const auto bytes = codec.seal(header, body, payload);
    frame_header read;
    CHECK(frame_codec::parse_header(bytes, 100, read) == frame_error::none);
    CHECK(read == header);
    CHECK(codec.verify(bytes, body, payload) == frame_error::none);
    CHECK(codec.verify(bytes, "bodx", payload) == frame_error::bad_tag);
    CHECK(codec.verify(bytes, body, "payloax") == frame_error::bad_tag);
    CHECK(codec.verify(bytes, "bodyp", "ayload") == frame_error::bad_tag);
    CHECK(frame_codec::parse_header(bytes, 3, read) == frame_error::oversize);
    CHECK(
        frame_codec("another key").verify(bytes, body, payload) ==
        frame_error::bad_tag);
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        auto changed = bytes;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        const bool noticed =
            frame_codec::parse_header(changed, 100, read) !=
                frame_error::none ||
            codec.verify(changed, body, payload) != frame_error::none;
        CHECK(noticed);
    }
}

TEST_CASE(
    "messages are decoded as encoded; truncated or longer bodies are rejected")
{
    schema::call call;
    call.service = "s";
    call.headers = {{"a", "b"}};
    call.struck_by = {"x#1"};
    CHECK(decode<schema::call>(encode(call)) == call);
    CHECK_FALSE(decode<schema::call>(encode(call) + "x"));
    const bool held = rc::check(
        "truncated messages",
        [&]
        {
            const auto whole = encode(call);
            const auto length = *rc::gen::inRange<std::size_t>(0, whole.size());
            RC_ASSERT(!decode<schema::call>(whole.substr(0, length)));
        });
    CHECK(held);
}

TEST_CASE("the body of a call is not copied to be sent")
{
    // Guards against copies of large bodies: it is sent behind the message.
    schema::call call;
    call.body = std::string(5'000'000, 'b');
    CHECK(encode(call).capacity() < 5'000);
    const auto sent = call;
    CHECK(sent.body.data() == call.body.data());
}

TEST_CASE("queueing delay is measured without synchronized clocks")
{
    delay_meter meter;
    CHECK(meter.measure(1000, {500000}).count == 0);
    CHECK(meter.measure(1010, {500010}).count == 0);
    CHECK(meter.measure(1020, {503020}).count == 3000);
    CHECK(meter.measure(4000, {503000}).count == 0);
    // A process suspension that outlasts the window is still measured.
    CHECK(meter.measure(4001, {583001}).count == 80000);
}
