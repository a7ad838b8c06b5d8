#include "decisions/document_store.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <set>

namespace bilberrytally::decisions
{
namespace
{
constexpr std::size_t max_text_bytes = 1U << 20U;

std::uint64_t hash_of(const schema::document_id& id)
{
    return base::combine(id.number, id.digest);
}

std::uint32_t bucket_of(const schema::document_id& id)
{
    return static_cast<std::uint32_t>(hash_of(id) % document_buckets);
}

bool is_newer(
    const schema::document_id& candidate, const schema::document_id& present)
{
    return std::pair(candidate.number, candidate.digest) >
           std::pair(present.number, present.digest);
}

base::result<void> check_unique_services(const schema::ticket& ticket)
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < ticket.services.size(); ++i)
    {
        if (!names.insert(ticket.services[i].name).second)
        {
            return base::fail(
                "ticket.services[" + std::to_string(i) + "].name",
                "expected each service once");
        }
    }
    return {};
}

base::result<std::variant<schema::ticket, schema::instance_list>>
parse_content(const nlohmann::json& json)
{
    if (json.is_object() && json.contains("instances"))
    {
        BOOST_LEAF_AUTO(list, schema::parse_instance_list(json, "list"));
        return list;
    }
    BOOST_LEAF_AUTO(ticket, schema::parse_ticket(json, "ticket"));
    BOOST_LEAF_CHECK(check_unique_services(ticket));
    return ticket;
}

std::string describe_position(const std::string& text, std::size_t byte)
{
    const auto end =
        text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
    return "line " + std::to_string(1 + std::count(text.begin(), end, '\n'));
}

base::result<nlohmann::json> parse_json(const std::string& text)
{
    try
    {
        return nlohmann::json::parse(text);
    }
    catch (const nlohmann::json::parse_error& failure)
    {
        return base::fail(
            describe_position(text, failure.byte),
            std::string("expected JSON: ") + failure.what());
    }
}

std::uint64_t number_of(const schema::ticket& ticket)
{
    return ticket.number;
}

std::uint64_t number_of(const schema::instance_list& list)
{
    return list.number;
}
} // namespace

base::result<document> document::parse(std::string text)
{
    if (text.size() > max_text_bytes)
    {
        return base::fail("document", "expected at most 1048576 bytes");
    }
    BOOST_LEAF_AUTO(json, parse_json(text));
    BOOST_LEAF_AUTO(content, parse_content(json));
    const auto number =
        std::visit([](const auto& value) { return number_of(value); }, content);
    const auto digest = base::hash(text);
    return document{std::move(text), number, digest, std::move(content)};
}

schema::document_id document::id() const
{
    return {this->number, this->digest};
}

bool merge_outcome::changed() const
{
    return !this->policies.empty() || !this->lists.empty();
}

std::size_t
document_store::id_hash::operator()(const schema::document_id& id) const
{
    return hash_of(id);
}

template <class Value>
bool document_store::replace_if_newer(
    versioned_map<Value>& by_service, const std::string& service,
    const document& incoming, const Value& value, merge_outcome& outcome)
{
    const auto found = by_service.find(service);
    if (found == by_service.end())
    {
        by_service.emplace(service, versioned<Value>{incoming.id(), value});
        this->add_reference(incoming);
        return true;
    }
    auto& present = found->second;
    const bool same_number = present.source.number == incoming.number;
    if (same_number && present.source.digest != incoming.digest)
    {
        outcome.conflicts.push_back(service);
    }
    if (!is_newer(incoming.id(), present.source))
    {
        return false;
    }
    this->remove_reference(present.source);
    present = {incoming.id(), value};
    this->add_reference(incoming);
    return true;
}

merge_outcome document_store::merge(const document& incoming)
{
    merge_outcome outcome;
    if (const auto* ticket = std::get_if<schema::ticket>(&incoming.content))
    {
        for (const auto& service : ticket->services)
        {
            if (this->replace_if_newer(
                    this->policies, service.name, incoming, service, outcome))
            {
                outcome.policies.push_back(service.name);
            }
        }
        return outcome;
    }
    const auto& list = std::get<schema::instance_list>(incoming.content);
    if (this->replace_if_newer(
            this->lists, list.service, incoming, list, outcome))
    {
        outcome.lists.push_back(list.service);
    }
    return outcome;
}

const schema::service_policy*
document_store::policy(const std::string& service) const
{
    const auto found = this->policies.find(service);
    return found == this->policies.end() ? nullptr : &found->second.value;
}

const schema::instance_list*
document_store::instances(const std::string& service) const
{
    const auto found = this->lists.find(service);
    return found == this->lists.end() ? nullptr : &found->second.value;
}

std::uint64_t document_store::ticket_number(const std::string& service) const
{
    const auto found = this->policies.find(service);
    return found == this->policies.end() ? 0 : found->second.source.number;
}

std::uint64_t document_store::highest_ticket() const
{
    std::uint64_t highest = 0;
    for (const auto& [name, object] : this->policies)
    {
        highest = std::max(highest, object.source.number);
    }
    return highest;
}

std::uint64_t document_store::content_hash() const
{
    std::uint64_t root = 0;
    for (const auto bucket : this->hashes)
    {
        root = base::combine(root, bucket);
    }
    return root;
}

std::vector<std::uint64_t> document_store::bucket_hashes() const
{
    return {this->hashes.begin(), this->hashes.end()};
}

std::vector<schema::document_id>
document_store::ids(const std::vector<std::uint32_t>& buckets) const
{
    std::vector<schema::document_id> ids;
    for (const auto& [id, entry] : this->stored)
    {
        if (std::find(buckets.begin(), buckets.end(), bucket_of(id)) !=
            buckets.end())
        {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<std::string> document_store::texts_not_known(
    const std::vector<std::uint32_t>& buckets,
    const std::vector<schema::document_id>& known) const
{
    std::vector<std::string> texts;
    for (const auto& id : this->ids(buckets))
    {
        if (std::find(known.begin(), known.end(), id) == known.end())
        {
            texts.push_back(this->stored.at(id).text);
        }
    }
    return texts;
}

bool document_store::holds(const schema::document_id& id) const
{
    return this->stored.count(id) != 0;
}

std::vector<std::string> document_store::services() const
{
    std::vector<std::string> names;
    for (const auto& [name, object] : this->policies)
    {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> document_store::listed_services() const
{
    std::vector<std::string> names;
    for (const auto& [name, object] : this->lists)
    {
        names.push_back(name);
    }
    return names;
}

void document_store::add_reference(const document& incoming)
{
    auto& entry = this->stored[incoming.id()];
    if (entry.references == 0)
    {
        entry.text = incoming.text;
        this->hashes[bucket_of(incoming.id())] ^= hash_of(incoming.id());
    }
    ++entry.references;
}

void document_store::remove_reference(const schema::document_id& id)
{
    const auto found = this->stored.find(id);
    if (--found->second.references > 0)
    {
        return;
    }
    this->hashes[bucket_of(id)] ^= hash_of(id);
    this->stored.erase(found);
}
} // namespace bilberrytally::decisions
