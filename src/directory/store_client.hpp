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
//! Items returned by one call, with the store's revision at that time. All are
//! of the epoch of that revision.
struct store_page
{
    std::vector<schema::published_item> items;
    //! More items follow after the last key of this page.
    bool has_more{false};
    schema::store_revision revision;

    bool operator==(const store_page&) const = default;
};

//! Why a call returned no items.
enum class store_failure
{
    history_gone, //!< The store dropped changes since the watch's revision.
    refused,      //!< The store responded that it does not serve the call now.
    unavailable,  //!< No complete response.
    outdated,     //!< A response of an epoch before the newest known one.
    unreadable, //!< An unexpected status, or a body that is not in the store's
                //!< format.
};

//! Name of a failure as it appears in log lines.
std::string_view to_string(store_failure failure);

//! A failed call of the store.
struct store_error
{
    store_failure failure{store_failure::unavailable};
    //! For log lines.
    std::string detail;
    //! Epoch that the response states; 0 if it states none.
    std::uint64_t epoch{0};

    bool operator==(const store_error&) const = default;
};

using store_result = std::variant<store_page, store_error>;
using on_store_result = std::function<void(store_result)>;

//! Client of a metadata store. It never writes. At most one call may be in
//! flight at a time.
class store_client
{
public:
    virtual ~store_client() = default;

    //! Reads one page of all items in the order of their keys, starting after
    //! the key \p after_key; an empty key starts at the first item.
    virtual void read(const std::string& after_key, on_store_result done) = 0;

    //! Returns the changes after \p revision. If there are none yet, the store
    //! holds the call for up to \p wait (a long poll). The store knows the
    //! number of the revision alone; the epoch of the result tells whether it
    //! was meant.
    virtual void watch(
        const schema::store_revision& revision, base::duration_ms wait,
        on_store_result done) = 0;
};
} // namespace bilberrytally::directory
