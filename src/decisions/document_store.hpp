#pragma once

#include "base/error.hpp"
#include "schema/documents.hpp"
#include "schema/messages.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bilberrytally::decisions
{
//! Number of buckets that summaries compare.
constexpr std::uint32_t document_buckets = 64;

//! A published document: a change ticket or the instance list of a service.
struct document
{
    std::string text;
    std::uint64_t number{0};
    //! Hash of the text.
    std::uint64_t digest{0};
    std::variant<schema::ticket, schema::instance_list> content;

    //! Parses and validates a published text.
    static base::result<document> parse(std::string text);

    schema::document_id id() const;
};

//! What a merge changed.
struct merge_outcome
{
    //! Services whose policy changed.
    std::vector<std::string> policies;
    //! Services whose instance list changed.
    std::vector<std::string> lists;
    //! Services for which another text has the same number.
    std::vector<std::string> conflicts;

    bool operator==(const merge_outcome&) const = default;

    bool changed() const;
};

//! The documents in force. Every service keeps the highest numbered ticket
//! and the highest numbered list that set it, so merging is commutative and
//! idempotent and nothing reverts. Equal numbers: the greater digest wins.
class document_store
{
public:
    //! Takes a document in whole; documents that set nothing are dropped.
    merge_outcome merge(const document& incoming);

    //! Policy in force for a service; null for an unknown service.
    const schema::service_policy* policy(const std::string& service) const;
    //! Instances of a service; null where no list is known.
    const schema::instance_list* instances(const std::string& service) const;

    //! Number of the ticket in force for a service; 0 for none.
    std::uint64_t ticket_number(const std::string& service) const;
    //! Highest ticket number in force.
    std::uint64_t highest_ticket() const;

    //! Hash over all documents in force.
    std::uint64_t root() const;
    //! One hash per bucket.
    std::vector<std::uint64_t> bucket_hashes() const;
    //! Documents in force within the given buckets.
    std::vector<schema::document_id>
    ids(const std::vector<std::uint32_t>& buckets) const;
    //! Documents in force that are not among \p known, in the given buckets.
    std::vector<std::string> missing_from(
        const std::vector<std::uint32_t>& buckets,
        const std::vector<schema::document_id>& known) const;
    bool holds(const schema::document_id& id) const;

    std::vector<std::string> services() const;
    std::vector<std::string> listed_services() const;

private:
    struct key_hash
    {
        std::size_t operator()(const schema::document_id& id) const;
    };
    struct held_document
    {
        std::string text;
        std::uint32_t objects{0};
    };
    template <class Value>
    struct versioned
    {
        schema::document_id source;
        Value value;
    };
    template <class Value>
    using versioned_map = std::map<std::string, versioned<Value>>;

    template <class Value>
    bool take(
        versioned_map<Value>& objects, const std::string& name,
        const document& incoming, const Value& value, merge_outcome& outcome);
    void hold(const document& incoming);
    void release(const schema::document_id& id);

    versioned_map<schema::service_policy> policies;
    versioned_map<schema::instance_list> lists;
    std::unordered_map<schema::document_id, held_document, key_hash> held;
    std::array<std::uint64_t, document_buckets> hashes{};
};
} // namespace bilberrytally::decisions
