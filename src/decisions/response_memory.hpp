#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bilberrytally::decisions
{
//! Bounds the memory that large responses take at the caller's node until their
//! callers have read them. Memory for a response as large as the last one of
//! its group is reserved before its call is sent, so that calls are refused
//! rather than their responses dropped.
class response_memory
{
public:
    //! \p limit is the largest number of body bytes held and reserved.
    explicit response_memory(std::uint64_t limit);

    //! Reserves memory for the response to a call of \p group beside \p held
    //! bytes of responses that wait for their callers. Returns the number of
    //! bytes, 0 if a small response is expected; nothing if there is no room.
    std::optional<std::uint64_t>
    reserve(const std::string& group, std::uint64_t held);

    //! Releases what reserve() returned.
    void release(std::uint64_t bytes);

    //! Records the size of a response.
    void on_response(const std::string& group, std::uint64_t bytes);

    //! True if a response of this size can be held beside \p held bytes.
    bool has_room(std::uint64_t bytes, std::uint64_t held) const;

private:
    std::uint64_t limit;
    std::uint64_t reserved{0};
    //! Size of the last response, by group; large ones only.
    std::map<std::string, std::uint64_t> last_large;
};
} // namespace bilberrytally::decisions
