#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace bilberrytally::schema
{
//! A state of the metadata store. Its revision number rises with each change,
//! but goes back when the store is restored from a backup, which starts a new
//! epoch. Numbers of different epochs must not be compared, so that a revision
//! is never kept or sent without its epoch.
struct store_revision
{
    //! Rises with each restore; 0 for a store that does not state it.
    std::uint64_t epoch{0};
    //! Rises with each change within the epoch; 0 before the first one.
    std::uint64_t number{0};

    store_revision() = default;
    store_revision(std::uint64_t epoch, std::uint64_t number)
        : epoch(epoch), number(number)
    {
    }

    //! Orders by epoch, then by number.
    auto operator<=>(const store_revision&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->epoch, this->number);
    }
};

//! For log lines: epoch and number, for example 2.113.
inline std::string to_string(const store_revision& revision)
{
    return std::to_string(revision.epoch) + "." +
           std::to_string(revision.number);
}
} // namespace bilberrytally::schema
