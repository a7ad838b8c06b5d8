#pragma once

#include "directory/fleet_configuration.hpp"

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberrytally::directory
{
//! SHA-256 digest of an access key.
key_digest digest_key(std::string_view key);

//! Id of an access key by which nodes refer to it: the start of its digest,
//! never 0.
std::uint64_t key_id(const key_digest& digest);

//! Finds the workspace of an access key. Holds digests of the keys only, so
//! that the time of a look-up tells nothing about similar keys.
class workspace_directory
{
public:
    //! Replaces all workspaces by those of the configuration.
    void replace(const fleet_configuration& configuration);

    //! True if the configuration has no workspaces: keys are not checked.
    bool empty() const;
    //! Version of the configuration; 0 before the first one.
    std::uint64_t version() const;

    //! The workspace that holds the key; null if none does.
    std::shared_ptr<const workspace> find(const key_digest& key) const;
    //! True if a workspace holds the key with this id.
    bool contains(std::uint64_t id) const;

private:
    struct entry
    {
        key_digest key;
        std::shared_ptr<const workspace> owner;
    };

    std::uint64_t configuration_version{0};
    bool has_workspaces{false};
    //! By key id.
    std::unordered_map<std::uint64_t, entry> keys;
};
} // namespace bilberrytally::directory
