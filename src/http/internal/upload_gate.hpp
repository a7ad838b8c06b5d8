#pragma once

#include <asio/execution_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

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
        upload(upload_gate& gate, std::uint64_t number);
        ~upload();
        upload(const upload&) = delete;
        upload& operator=(const upload&) = delete;

        //! True if more of the connection may be read now.
        bool may_read() const;
        void on_read(std::uint64_t bytes);
        //! A response is being written: what was read before it is released.
        void on_response();

    private:
        upload_gate& gate;
        std::uint64_t number;
        std::uint64_t bytes{0};
    };

    explicit upload_gate(asio::execution_context& context);

    void set_limit(std::uint64_t bytes);
    std::shared_ptr<upload> open();

private:
    void shutdown() override;
    void
    change(std::uint64_t number, std::uint64_t before, std::uint64_t after);
    bool may_read(std::uint64_t number, std::uint64_t bytes);

    std::mutex mutex;
    std::uint64_t limit{UINT64_MAX};
    std::uint64_t total{0};
    std::uint64_t last_number{0};
    std::uint64_t last_start{0};
    //! Connections with a large request, by the order in which it became large.
    std::map<std::uint64_t, std::uint64_t> large_by_start;
    std::map<std::uint64_t, std::uint64_t> start_of_large;
};
} // namespace bilberrytally::http
