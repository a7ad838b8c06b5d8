#include "directory/workspace_directory.hpp"

#include <openssl/sha.h>

#include <algorithm>
#include <cstring>

namespace bilberrytally::directory
{
key_digest digest_key(std::string_view key)
{
    static_assert(sizeof(key_digest) == SHA256_DIGEST_LENGTH);
    key_digest digest;
    SHA256(
        reinterpret_cast<const unsigned char*>(key.data()), key.size(),
        digest.data());
    return digest;
}

std::uint64_t key_id(const key_digest& digest)
{
    std::uint64_t id = 0;
    std::memcpy(&id, digest.data(), sizeof(id));
    // 0 stands for a request without a key.
    return std::max<std::uint64_t>(id, 1);
}

void workspace_directory::replace(const fleet_configuration& configuration)
{
    this->configuration_version = configuration.version;
    this->has_workspaces = !configuration.workspaces.empty();
    this->keys.clear();
    for (const auto& definition : configuration.workspaces)
    {
        const auto owner = std::make_shared<const workspace>(definition);
        for (const auto& key : definition.keys)
        {
            this->keys[key_id(key)] = {key, owner};
        }
    }
}

bool workspace_directory::empty() const
{
    return !this->has_workspaces;
}

std::uint64_t workspace_directory::version() const
{
    return this->configuration_version;
}

std::shared_ptr<const workspace>
workspace_directory::find(const key_digest& key) const
{
    const auto found = this->keys.find(key_id(key));
    const bool known = found != this->keys.end() && found->second.key == key;
    return known ? found->second.owner : nullptr;
}

bool workspace_directory::contains(std::uint64_t id) const
{
    return this->keys.count(id) != 0;
}
} // namespace bilberrytally::directory
