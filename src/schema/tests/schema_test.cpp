#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "schema/documents.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally;

namespace
{
std::string ticket_error(const std::string& text)
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

TEST_CASE("a ticket is read with defaults and written whole")
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

TEST_CASE("wrong tickets name the place and what was expected")
{
    CHECK(ticket_error("[]") == "ticket: expected an object");
    CHECK(
        ticket_error(R"({"number":1,"services":[{"name":"a","team":"t",
            "slots":0}]})") ==
        "ticket.services[0].slots: expected a whole number, 1 to 100000");
    CHECK(
        ticket_error(R"({"number":1,"services":[{"name":"a","team":"t",
            "slots":1,"routes":[{"path_prefix":"x"}]}]})") ==
        "ticket.services[0].routes[0].path_prefix: expected a text that "
        "starts with /");
    CHECK(
        ticket_error(R"({"number":1,"services":[],"extra":1})") ==
        "ticket.extra: unknown key");
    CHECK(
        ticket_error(R"({"number":1,"services":[]})") ==
        "ticket.services: expected a list of length 1 to any");
    CHECK(ticket_error(R"({"number":-1,"services":[]})")
              .starts_with("ticket.number: expected a whole number"));
}
