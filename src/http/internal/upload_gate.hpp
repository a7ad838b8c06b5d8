#pragma once

#include <asio/execution_context.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <set>

namespace bilberrytally::http
{
//! Bounds the bytes of requests that the servers of an io_context have read and
//! not answered yet. While they exceed the limit, only the connection that
//! began its large request first is read; the others wait, and so their callers
//! are slowed down. Thread-safe.
class upload_gate : public asio::execution_context::service
{
public:
    using key_type = upload_gate;
    inline static asio::execution_context::id id;

    //! What one connection has sent since its last response. Leaves the gate
    //! with its last reference.
    class upload
    {
    public:
        explicit upload(upload_gate& gate);
        ~upload();
        upload(const upload&) = delete;
        upload& operator=(const upload&) = delete;

        //! True if more of the connection may be read now.
        bool may_read() const;
        void on_read(std::uint64_t bytes);
        //! A response is being written: what was read before it is released.
        void on_response();

    private:
        friend class upload_gate;

        upload_gate& gate;
        std::uint64_t bytes{0};
        //! Place in the order in which requests became large; 0 while small.
        std::uint64_t place{0};
    };

    explicit upload_gate(asio::execution_context& context);

    void set_limit(std::uint64_t bytes);
    std::shared_ptr<upload> open();

private:
    void shutdown() override;
    void set_bytes(upload& changed, std::uint64_t bytes);
    bool may_read(const upload& asking);

    std::mutex mutex;
    std::uint64_t limit{UINT64_MAX};
    std::uint64_t total{0};
    std::uint64_t last_place{0};
    //! Places of the large requests.
    std::set<std::uint64_t> large;
};
} // namespace bilberrytally::http
