#include "apps/log_output.hpp"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace bilberrytally::app
{
namespace
{
//! Lines that would let the pending text grow beyond this are dropped.
constexpr std::size_t max_pending_bytes = 64U << 10U;
//! A writable pipe takes this many bytes without blocking.
constexpr std::size_t write_bytes = PIPE_BUF;

bool is_writable(int descriptor)
{
    pollfd item{descriptor, POLLOUT, 0};
    return poll(&item, 1, 0) > 0 && (item.revents & POLLOUT) != 0;
}
} // namespace

log_output::log_output(int descriptor) : descriptor(descriptor)
{
}

void log_output::add(std::string_view line)
{
    if (this->pending.size() + line.size() > max_pending_bytes)
    {
        ++this->dropped;
        return;
    }
    if (this->dropped > 0)
    {
        this->pending += "level=WARNING event=lines_dropped count=" +
                         std::to_string(this->dropped) + '\n';
        this->dropped = 0;
    }
    this->pending += line;
    if (this->pending.size() >= write_bytes)
    {
        this->flush();
    }
}

void log_output::flush()
{
    std::size_t written = 0;
    while (written < this->pending.size() && is_writable(this->descriptor))
    {
        const auto size = std::min(write_bytes, this->pending.size() - written);
        const auto count =
            write(this->descriptor, this->pending.data() + written, size);
        if (count <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    this->pending.erase(0, written);
}
} // namespace bilberrytally::app
