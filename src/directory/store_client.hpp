#pragma once

#include "base/time.hpp"
#include "schema/messages.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bilberrytally::directory
{
//! Items of a read, with the store's revision at the time of the read.
struct store_page
{
    std::vector<schema::published_item> items;
    //! Further items follow after the last key.
    bool more{false};
    std::uint64_t revision{0};

    bool operator==(const store_page&) const = default;
};

//! Why a read gave no items.
enum class store_failure
{
    history_gone, //!< Changes since that revision are no longer known.
    refused,      //!< The store answered that it takes no call now.
    unavailable,  //!< No whole answer.
    unreadable,   //!< An answer that is not in the store's format.
};

std::string_view to_string(store_failure failure);

//! A failed read.
struct store_error
{
    store_failure failure{store_failure::unavailable};
    std::string detail;

    bool operator==(const store_error&) const = default;
};

using store_result = std::variant<store_page, store_error>;
using on_store_result = std::function<void(store_result)>;

//! Reads of a metadata store; one at a time. Nothing is ever written.
class store_client
{
public:
    virtual ~store_client() = default;

    //! Reads a page of all items, those after the key \p after.
    virtual void read(const std::string& after, on_store_result done) = 0;

    //! Waits up to \p wait for changes after \p revision.
    virtual void watch(
        std::uint64_t revision, base::duration_ms wait,
        on_store_result done) = 0;
};
} // namespace bilberrytally::directory
