#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "schema/documents.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally;

namespace
{
//! Text of the error, or "valid" with the ticket's number.
std::string parse_outcome(const std::string& text)
{
    return base::handle(
        [&]() -> base::result<std::string>
        {
            BOOST_LEAF_AUTO(
                ticket,
                schema::parse_ticket(nlohmann::json::parse(text), "ticket"));
            return "valid " + std::to_string(ticket.number);
        },
        [](const base::error& failure) { return failure.text(); });
}
} // namespace

TEST_CASE("a ticket is read with defaults and written with all fields")
{
    const auto json = nlohmann::json::parse(
        R"({"number":7,"services":[{"name":"a","team":"t","slots":3,
            "routes":[{"path_prefix":"/x","priority":0}]}]})");
    const auto same = base::handle(
        [&]() -> base::result<bool>
        {
            BOOST_LEAF_AUTO(ticket, schema::parse_ticket(json, "ticket"));
            CHECK(ticket.services[0].retry_budget == 3);
            CHECK_FALSE(ticket.services[0].routes[0].repeatable);
            BOOST_LEAF_AUTO(
                again, schema::parse_ticket(schema::to_json(ticket), "ticket"));
            return again == ticket;
        },
        [](const base::error&) { return false; });
    CHECK(same);
}

TEST_CASE("errors of invalid tickets name the field and what was expected")
{
    CHECK(parse_outcome("[]") == "ticket: expected an object");
    CHECK(
        parse_outcome(R"({"number":1,"services":[{"name":"a","team":"t",
            "slots":0}]})") ==
        "ticket.services[0].slots: expected a whole number, 1 to 100000");
    CHECK(
        parse_outcome(R"({"number":1,"services":[{"name":"a","team":"t",
            "slots":1,"routes":[{"path_prefix":"x"}]}]})") ==
        "ticket.services[0].routes[0].path_prefix: expected a text that "
        "starts with /");
    CHECK(
        parse_outcome(R"({"number":1,"services":[],"extra":1})") ==
        "ticket.extra: unknown key");
    CHECK(
        parse_outcome(R"({"number":1,"services":[]})") ==
        "ticket.services: expected a list of length 1 to unlimited");
    CHECK(parse_outcome(R"({"number":-1,"services":[]})")
              .starts_with("ticket.number: expected a whole number"));
}
