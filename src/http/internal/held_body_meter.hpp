#pragma once

#include <atomic>
#include <cstdint>
#include <functional>

namespace bilberrytally::http
{
//! Counts the bytes of unfinished responses that all transfers of a client
//! hold. Thread-safe.
class held_body_meter
{
public:
    //! \p limit is the largest number of bytes held together; \p room a lower
    //! limit that may change, or empty.
    explicit held_body_meter(
        std::uint64_t limit, std::function<std::uint64_t()> room = nullptr);

    //! Records that a transfer holds \p after bytes, and before \p before.
    void update(std::uint64_t before, std::uint64_t after);

    //! True if the limit is exceeded.
    bool is_over() const;

    //! True if the limit is exceeded and a transfer that holds \p own bytes has
    //! more than an equal share of it. The largest transfer always has, so that
    //! the limit holds however many transfers there are, and small ones go on.
    bool must_end(std::uint64_t own) const;

    //! Bytes held by all transfers.
    std::uint64_t total() const;

private:
    std::uint64_t allowed() const;

    std::uint64_t limit;
    std::function<std::uint64_t()> room;
    std::atomic<std::uint64_t> bytes{0};
    //! Number of transfers that hold any.
    std::atomic<std::uint64_t> holders{0};
};
} // namespace bilberrytally::http
