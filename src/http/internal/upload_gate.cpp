#include "http/internal/upload_gate.hpp"

namespace bilberrytally::http
{
namespace
{
//! Requests up to this size are always read.
constexpr std::uint64_t small_request_bytes = 64U << 10U;
} // namespace

upload_gate::upload::upload(upload_gate& gate, std::uint64_t number)
    : gate(gate), number(number)
{
}

upload_gate::upload::~upload()
{
    this->on_response();
}

bool upload_gate::upload::may_read() const
{
    return this->gate.may_read(this->number, this->bytes);
}

void upload_gate::upload::on_read(std::uint64_t count)
{
    this->gate.change(this->number, this->bytes, this->bytes + count);
    this->bytes += count;
}

void upload_gate::upload::on_response()
{
    this->gate.change(this->number, this->bytes, 0);
    this->bytes = 0;
}

upload_gate::upload_gate(asio::execution_context& context)
    : asio::execution_context::service(context)
{
}

void upload_gate::shutdown()
{
}

void upload_gate::set_limit(std::uint64_t bytes)
{
    const std::scoped_lock lock(this->mutex);
    this->limit = bytes;
}

std::shared_ptr<upload_gate::upload> upload_gate::open()
{
    const std::scoped_lock lock(this->mutex);
    return std::make_shared<upload>(*this, ++this->last_number);
}

void upload_gate::change(
    std::uint64_t number, std::uint64_t before, std::uint64_t after)
{
    const std::scoped_lock lock(this->mutex);
    this->total += after - before;
    const auto found = this->start_of_large.find(number);
    const bool was_large = found != this->start_of_large.end();
    const bool is_large = after > small_request_bytes;
    if (is_large && !was_large)
    {
        const auto start = ++this->last_start;
        this->start_of_large.emplace(number, start);
        this->large_by_start.emplace(start, number);
    }
    if (!is_large && was_large)
    {
        this->large_by_start.erase(found->second);
        this->start_of_large.erase(found);
    }
}

bool upload_gate::may_read(std::uint64_t number, std::uint64_t bytes)
{
    const std::scoped_lock lock(this->mutex);
    const bool is_first = !this->large_by_start.empty() &&
                          this->large_by_start.begin()->second == number;
    return bytes <= small_request_bytes || this->total <= this->limit ||
           is_first;
}
} // namespace bilberrytally::http
