#include "directory/workspace_directory.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally::directory;

namespace
{
fleet_configuration make_configuration(std::uint64_t version)
{
    fleet_configuration configuration;
    configuration.version = version;
    configuration.workspaces = {
        {"first", {digest_key("key-1"), digest_key("key-2")}, 1, 10, 5},
        {"second", {digest_key("key-3")}, std::nullopt, 0, 0}};
    return configuration;
}
} // namespace

TEST_CASE("a key finds its workspace, and only while it is listed")
{
    workspace_directory directory;
    CHECK(directory.empty());
    directory.replace(make_configuration(3));
    CHECK_FALSE(directory.empty());
    CHECK(directory.version() == 3);
    REQUIRE(directory.find(digest_key("key-2")));
    CHECK(directory.find(digest_key("key-2"))->name == "first");
    CHECK(directory.find(digest_key("key-3"))->name == "second");
    CHECK_FALSE(directory.find(digest_key("key-4")));
    CHECK_FALSE(directory.find(digest_key("")));
    auto without_key = make_configuration(4);
    without_key.workspaces[0].keys.pop_back();
    directory.replace(without_key);
    CHECK_FALSE(directory.find(digest_key("key-2")));
    CHECK_FALSE(directory.contains(key_id(digest_key("key-2"))));
    CHECK(directory.contains(key_id(digest_key("key-1"))));
}

TEST_CASE("workspaces without keys still make requests need a key")
{
    workspace_directory directory;
    auto configuration = make_configuration(1);
    configuration.workspaces.resize(1);
    configuration.workspaces[0].keys.clear();
    directory.replace(configuration);
    CHECK_FALSE(directory.empty());
    directory.replace(fleet_configuration{});
    CHECK(directory.empty());
}
