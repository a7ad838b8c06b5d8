#include "http/internal/upload_gate.hpp"

namespace bilberrytally::http
{
namespace
{
//! Requests up to this size are always read.
constexpr std::uint64_t small_request_bytes = 64U << 10U;
} // namespace

upload_gate::upload::upload(upload_gate& gate) : gate(gate)
{
}

upload_gate::upload::~upload()
{
    this->on_response();
}

bool upload_gate::upload::may_read() const
{
    return this->gate.may_read(*this);
}

void upload_gate::upload::on_read(std::uint64_t count)
{
    this->gate.set_bytes(*this, this->bytes + count);
}

void upload_gate::upload::on_response()
{
    this->gate.set_bytes(*this, 0);
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
    return std::make_shared<upload>(*this);
}

void upload_gate::set_bytes(upload& changed, std::uint64_t bytes)
{
    const std::scoped_lock lock(this->mutex);
    this->total += bytes - changed.bytes;
    changed.bytes = bytes;
    const bool is_large = bytes > small_request_bytes;
    if (is_large && changed.place == 0)
    {
        changed.place = ++this->last_place;
        this->large.insert(changed.place);
    }
    if (!is_large && changed.place != 0)
    {
        this->large.erase(changed.place);
        changed.place = 0;
    }
}

bool upload_gate::may_read(const upload& asking)
{
    const std::scoped_lock lock(this->mutex);
    return asking.place == 0 || this->total <= this->limit ||
           *this->large.begin() == asking.place;
}
} // namespace bilberrytally::http
