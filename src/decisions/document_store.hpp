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
//! Number of hash buckets by which two stores compare their documents.
constexpr std::uint32_t document_buckets = 64;

//! A published document: a change ticket or the instance list of a service.
struct document
{
    std::string text;
    //! Version: a document with a greater number replaces one with a smaller.
    std::uint64_t number{0};
    //! Hash of the text.
    std::uint64_t digest{0};
    std::variant<schema::ticket, schema::instance_list> content;

    //! Parses and validates the JSON text of a published document. Fails with
    //! the place of the first error.
    static base::result<document> parse(std::string text);

    schema::document_id id() const;
};

//! Result of a merge.
struct merge_outcome
{
    //! Services whose policy changed.
    std::vector<std::string> policies;
    //! Services whose instance list changed.
    std::vector<std::string> lists;
    //! Services for which two different texts have the same number.
    std::vector<std::string> conflicts;

    bool operator==(const merge_outcome&) const = default;

    bool changed() const;
};

//! The documents in force. For every service the ticket and the instance list
//! with the highest number win; between equal numbers the greater digest wins.
//! Merging is therefore commutative and idempotent, and never goes back to an
//! older document.
class document_store
{
public:
    //! Merges all parts of a document. A document is kept as long as at least
    //! one service uses it.
    merge_outcome merge(const document& incoming);

    //! Policy in force for a service; null if no ticket names the service.
    const schema::service_policy* policy(const std::string& service) const;
    //! Instance list of a service; null if no list is known.
    const schema::instance_list* instances(const std::string& service) const;

    //! Number of the ticket in force for a service; 0 if there is none.
    std::uint64_t ticket_number(const std::string& service) const;
    //! Highest ticket number in force; 0 if there is none.
    std::uint64_t highest_ticket() const;

    //! Hash over all documents in force. Stores with equal documents have equal
    //! root hashes.
    std::uint64_t content_hash() const;
    //! One hash per bucket, in the order of the buckets.
    std::vector<std::uint64_t> bucket_hashes() const;
    //! Ids of the documents in force in the given buckets.
    std::vector<schema::document_id>
    ids(const std::vector<std::uint32_t>& buckets) const;
    //! Texts of the documents in force in the given buckets that are not among
    //! \p known.
    std::vector<std::string> texts_not_known(
        const std::vector<std::uint32_t>& buckets,
        const std::vector<schema::document_id>& known) const;
    //! True if the document is in force for at least one service.
    bool holds(const schema::document_id& id) const;

    //! Names of the services for which a ticket is in force.
    std::vector<std::string> services() const;
    //! Names of the services for which an instance list is in force.
    std::vector<std::string> listed_services() const;

private:
    struct id_hash
    {
        std::size_t operator()(const schema::document_id& id) const;
    };
    struct stored_document
    {
        std::string text;
        //! Number of policies and lists that this document sets.
        std::uint32_t references{0};
    };
    template <class Value>
    struct versioned
    {
        schema::document_id source;
        Value value;
    };
    template <class Value>
    using versioned_map = std::map<std::string, versioned<Value>>;

    //! Sets the entry of \p service to \p value if \p incoming is newer than
    //! the document in force. Returns true if it did. Adds a conflict to
    //! \p outcome if the same number has another text.
    template <class Value>
    bool replace_if_newer(
        versioned_map<Value>& by_service, const std::string& service,
        const document& incoming, const Value& value, merge_outcome& outcome);
    //! Counts one more use of a document and keeps its text.
    void add_reference(const document& incoming);
    //! Counts one use less and drops an unused document.
    void remove_reference(const schema::document_id& id);

    versioned_map<schema::service_policy> policies;
    versioned_map<schema::instance_list> lists;
    std::unordered_map<schema::document_id, stored_document, id_hash> stored;
    std::array<std::uint64_t, document_buckets> hashes{};
};
} // namespace bilberrytally::decisions
