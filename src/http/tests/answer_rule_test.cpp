#include "http/internal/response_parser.hpp"
#include "http/tests/raw_server.hpp"
#include "http/tests/running_client.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <string>
#include <vector>

using namespace bilberrytally;
using namespace bilberrytally::http;

// What is an answer, and what is none: a server in trouble sends bytes that
// look like one. Whatever was not sent whole and well-formed must never be
// passed on as a response.
namespace
{
const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string id = "id: 1\r\n";
const std::string chunked = "transfer-encoding: chunked\r\n";

struct answer_case
{
    std::string name;
    std::string bytes;
};

//! Bytes that are no answer to the request with id 1.
std::vector<answer_case> malformed_answers()
{
    const std::string five = "content-length: 5\r\n\r\nabcde";
    std::vector<answer_case> cases{
        {"blank before the colon", ok + id + "x-odd : x\r\n" + five},
        {"blank in a name", ok + id + "bad name: x\r\n" + five},
        {"tab in a name", ok + id + "bad\tname: x\r\n" + five},
        {"control byte in a name", ok + id + "bad\x01name: x\r\n" + five},
        {"quote in a name", ok + id + "bad\"name: x\r\n" + five},
        {"empty name", ok + id + ": x\r\n" + five},
        {"no colon", ok + id + "nothing\r\n" + five},
        {"NUL in a name", ok + id + std::string("a\0b: x\r\n", 8) + five},
        {"NUL in a value", ok + id + std::string("a: x\0y\r\n", 8) + five},
        {"control byte in a value", ok + id + "a: x\x02y\r\n" + five},
        {"folded line behind the status line", ok + " x: y\r\n" + id + five},
        {"blank before the colon of a length",
         ok + id + "content-length : 5\r\n\r\nabcdefgh"},
        {"folded line", ok + id + "x: y\r\n z\r\n" + five},
        {"folded length", ok + id + "\tcontent-length: 9\r\n" + five},
        {"two lengths", ok + id + "content-length: 4\r\n" + five},
        {"length with a sign", ok + id + "content-length: +5\r\n\r\nabcde"},
        {"length that is no number",
         ok + id + "content-length: 5x\r\n\r\nabcde"},
        {"length and chunks", ok + id + "content-length: 5\r\n" + chunked +
                                  "\r\n5\r\nabcde\r\n0\r\n\r\n"},
        {"blank before the colon of a coding",
         ok + id + "transfer-encoding : chunked\r\n\r\n0\r\n\r\n"},
        {"coding after chunked",
         ok + id + "transfer-encoding: chunked, gzip\r\n\r\n0\r\n\r\n"},
        {"chunked twice",
         ok + id + "transfer-encoding: chunked, chunked\r\n\r\n0\r\n\r\n"},
        {"two codings", ok + id + chunked + chunked + "\r\n0\r\n\r\n"},
        {"unknown coding", ok + id + "transfer-encoding: gzip\r\n\r\nabcde"},
        {"version 2.0", "HTTP/2.0 200 OK\r\n" + id + five},
        {"version 1.2", "HTTP/1.2 200 OK\r\n" + id + five},
        {"no version", "200 OK\r\n" + id + five},
        {"another protocol", "HTTX/1.1 200 OK\r\n" + id + five},
        {"blank before the status line", " " + ok + id + five},
    };
    for (const char* status :
         {"000", "099", "20", "2000", "600", "999", "-20", "2 0", "abc", "101",
          "0200"})
    {
        cases.push_back(
            {status,
             std::string("HTTP/1.1 ") + status + " OK\r\n" + id + five});
    }
    return cases;
}

//! Framing of chunks that libcurl accepts, so that only the pooled client
//! rejects it.
std::vector<answer_case> malformed_chunks()
{
    const std::string head = ok + id + chunked + "\r\n";
    return {
        {"blank in a chunk size", head + "5 5\r\nabcde\r\n0\r\n\r\n"},
        {"chunk longer than its size", head + "3\r\nabcde\r\n0\r\n\r\n"},
        {"chunk shorter than its size", head + "7\r\nabcde\r\n0\r\n\r\n"},
        {"signed chunk size", head + "+5\r\nabcde\r\n0\r\n\r\n"},
        {"no chunk size", head + "\r\nabcde\r\n0\r\n\r\n"},
        {"blank in the name of a trailer",
         head + "5\r\nabcde\r\n0\r\nbad name: x\r\n\r\n"},
        {"blank before the colon of a trailer",
         head + "5\r\nabcde\r\n0\r\nx : x\r\n\r\n"},
    };
}

void check_refused(const answer_case& entry, running_client::factory make)
{
    CAPTURE(entry.name);
    raw_server server({{{entry.bytes, true}}});
    running_client client({}, make);
    const auto result = client.get(server.port(), "1");
    // Known at once; nothing is waited for.
    CHECK(result.outcome == transfer_outcome::broken);
}
} // namespace

TEST_CASE("bytes that are no answer are not passed on")
{
    for (const auto make : {http_client::make, http_client::make_pooled})
    {
        for (const auto& entry : malformed_answers())
        {
            check_refused(entry, make);
        }
    }
}

TEST_CASE("chunks that are not framed right are not passed on")
{
    for (const auto& entry : malformed_chunks())
    {
        check_refused(entry, http_client::make_pooled);
    }
}

TEST_CASE("a malformed answer is refused while the connection stays open")
{
    // Guards against waiting for the rest of what cannot become an answer.
    for (const auto& entry : malformed_answers())
    {
        CAPTURE(entry.name);
        raw_server server({{{entry.bytes + "\r\n\r\n"}}});
        running_client client;
        CHECK(
            client.get(server.port(), "1").outcome == transfer_outcome::broken);
    }
}

TEST_CASE("well-formed answers are passed on")
{
    const std::vector<answer_case> cases{
        {"length", ok + id + "content-length: 5\r\n\r\nabcde"},
        {"chunks",
         ok + id + chunked + "\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"},
        {"coding in capitals",
         ok + id + "Transfer-Encoding: Chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"},
        {"trailers",
         ok + id + chunked + "\r\n5\r\nabcde\r\n0\r\nx-sum: 1\r\n\r\n"},
        {"end of the connection", ok + id + "\r\nabcde"},
        {"version 1.0",
         "HTTP/1.0 200 OK\r\n" + id + "content-length: 5\r\n\r\nabcde"},
        {"no reason",
         "HTTP/1.1 200 \r\n" + id + "content-length: 5\r\n\r\nabcde"},
        {"after interim answers",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nlink: x\r\n\r\n" +
             ok + id + "content-length: 5\r\n\r\nabcde"},
        {"bytes over 127 in a value",
         ok + id + "x: \xc3\xa4\r\ncontent-length: 5\r\n\r\nabcde"},
    };
    for (const auto make : {http_client::make, http_client::make_pooled})
    {
        for (const auto& entry : cases)
        {
            CAPTURE(entry.name);
            raw_server server({{{entry.bytes, true}}});
            running_client client({}, make);
            const auto result = client.get(server.port(), "1");
            CHECK(result.outcome == transfer_outcome::answered);
            CHECK(result.content.status == 200);
            CHECK(result.content.body == "abcde");
        }
    }
}

TEST_CASE("a part of a body is no answer if the upload is reset")
{
    // Guards against a reset that writing meets, after which reading meets a
    // plain end.
    constexpr std::size_t upload_bytes = 24'000'000;
    constexpr int runs = 5;
    for (const auto make : {http_client::make, http_client::make_pooled})
    {
        for (int run = 0; run < runs; ++run)
        {
            raw_server server({{{ok + id + "\r\npart", false, true}}});
            running_client client({}, make);
            const auto result =
                client.get(server.port(), "1", std::string(upload_bytes, 'u'));
            CHECK(result.outcome == transfer_outcome::broken);
        }
    }
}

TEST_CASE("a part of a body is no answer if the upload is not read to its end")
{
    constexpr std::size_t upload_bytes = 24'000'000;
    for (const auto make : {http_client::make, http_client::make_pooled})
    {
        raw_server server({{{ok + id + "\r\npart", true}}});
        running_client client({}, make);
        const auto result =
            client.get(server.port(), "1", std::string(upload_bytes, 'u'));
        CHECK(result.outcome == transfer_outcome::broken);
    }
}

namespace
{
//! The lines and parts of an answer, as they are sent.
struct encoded_answer
{
    std::string status{"200"};
    std::string name{"x-field"};
    std::string value{"a value"};
    std::string length_name;
    std::string length_value;
    //! Chunks with their sizes, or the body.
    std::vector<std::string> parts;
    std::string line_end{"\r\n"};

    std::string text() const
    {
        std::string bytes = "HTTP/1.1 " + this->status + " OK" +
                            this->line_end + this->name + ": " + this->value +
                            "\r\n" + this->length_name + ": " +
                            this->length_value + "\r\n\r\n";
        for (const auto& part : this->parts)
        {
            bytes += part;
        }
        return bytes;
    }
};

encoded_answer encode_answer(const std::string& body, bool in_chunks)
{
    encoded_answer answer;
    if (!in_chunks)
    {
        answer.length_name = "content-length";
        answer.length_value = std::to_string(body.size());
        answer.parts = {body};
        return answer;
    }
    answer.length_name = "transfer-encoding";
    answer.length_value = "chunked";
    constexpr std::size_t chunk_bytes = 11;
    for (std::size_t at = 0; at < body.size(); at += chunk_bytes)
    {
        const auto data = body.substr(at, chunk_bytes);
        const std::string digits = "0123456789ab";
        answer.parts.push_back(std::string(1, digits[data.size()]) + "\r\n");
        answer.parts.push_back(data + "\r\n");
    }
    answer.parts.push_back("0\r\n\r\n");
    return answer;
}

std::string insert_anywhere(std::string text, const std::string& letters)
{
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    const auto letter = *rc::gen::elementOf(letters);
    text.insert(at, 1, letter);
    return text;
}

//! Changes the answer in one way that makes it none.
std::string damage(encoded_answer answer)
{
    const std::string control("\x00\x01\x08\x0a\x0b\x1f\x7f", 7);
    const std::string separators = " \t\"(),/;<=>?@[\\]{}";
    switch (*rc::gen::inRange(0, 7))
    {
    case 0:
        answer.name = insert_anywhere(answer.name, separators + control);
        break;
    case 1:
        answer.value.insert(
            *rc::gen::inRange<std::size_t>(1, answer.value.size()), 1,
            *rc::gen::elementOf(control));
        break;
    case 2:
        answer.status = *rc::gen::element<std::string>(
            "000", "042", "099", "101", "600", "999", "20", "2000", "2x0");
        break;
    case 3:
        answer.line_end = *rc::gen::element<std::string>("\r", "\n", "\r\r\n");
        break;
    case 4:
        answer.length_value = insert_anywhere(answer.length_value, "x-+;,_");
        break;
    case 5:
        answer.length_name = insert_anywhere(answer.length_name, " \t");
        break;
    default:
    {
        const auto whole = answer.text();
        return whole.substr(0, *rc::gen::inRange<std::size_t>(0, whole.size()));
    }
    }
    return answer.text();
}

//! Parses the bytes in pieces of random size up to the end of the connection.
response_parser::progress
parse_in_pieces(response_parser& parser, std::string_view bytes)
{
    parser.begin(false);
    auto state = response_parser::progress::partial;
    while (!bytes.empty() && state == response_parser::progress::partial)
    {
        const auto size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
        auto piece = bytes.substr(0, size);
        bytes.remove_prefix(size);
        state = parser.feed(piece);
    }
    return state == response_parser::progress::partial ? parser.end() : state;
}

constexpr std::uint64_t max_body_bytes = 1U << 20U;
const std::string fuzz_body = "the body of the answer and nothing else";
} // namespace

TEST_CASE("an answer is read the same however its bytes arrive")
{
    const bool held = rc::check(
        "answers in pieces",
        []
        {
            response_parser parser(max_body_bytes);
            const auto sent =
                encode_answer(fuzz_body, *rc::gen::arbitrary<bool>());
            const auto state = parse_in_pieces(parser, sent.text());
            RC_ASSERT(state == response_parser::progress::complete);
            RC_ASSERT(parser.take().body == fuzz_body);
        });
    CHECK(held);
}

TEST_CASE("an answer that is damaged in one place is none")
{
    const bool held = rc::check(
        "one change",
        []
        {
            response_parser parser(max_body_bytes);
            const auto bytes =
                damage(encode_answer(fuzz_body, *rc::gen::arbitrary<bool>()));
            RC_LOG() << bytes;
            const auto state = parse_in_pieces(parser, bytes);
            RC_ASSERT(state == response_parser::progress::malformed);
        });
    CHECK(held);
}

TEST_CASE("chunks of other sizes than stated are no answer")
{
    const bool held = rc::check(
        "one chunk size",
        []
        {
            auto sent = encode_answer(fuzz_body, true);
            const auto at =
                *rc::gen::inRange<std::size_t>(0, (sent.parts.size() - 1) / 2) *
                2;
            const auto old = sent.parts[at];
            sent.parts[at] = *rc::gen::element<std::string>(
                                 "1", "5", "9", "c", "10", "b b", " b", "+b") +
                             "\r\n";
            RC_PRE(sent.parts[at] != old);
            response_parser parser(max_body_bytes);
            const auto state = parse_in_pieces(parser, sent.text());
            RC_ASSERT(state == response_parser::progress::malformed);
        });
    CHECK(held);
}
