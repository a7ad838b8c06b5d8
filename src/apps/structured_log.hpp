#pragma once

#include "base/time.hpp"

#include <glog/logging.h>

namespace bilberrytally::app
{
//! Writes each log message as one line of key=value to standard output.
class structured_log : public google::LogSink
{
public:
    //! \p level is the lowest severity written, 0 info to 2 error. Lines are
    //! buffered for \p flush_s seconds at most, warnings are never buffered.
    structured_log(const char* program, unsigned level, unsigned flush_s);
    ~structured_log() override;
    structured_log(const structured_log&) = delete;
    structured_log& operator=(const structured_log&) = delete;

    void send(
        google::LogSeverity severity, const char* full_filename,
        const char* base_filename, int line, const google::LogMessageTime& time,
        const char* message, std::size_t length) override;

private:
    //! False where this second has had its lines.
    bool admit_line();

    base::time_ms second_start{INT64_MIN / 2};
    std::uint32_t lines{0};
    std::uint32_t left_out{0};
    base::duration_ms flush_interval;
    base::time_ms last_flush;
};
} // namespace bilberrytally::app
