#pragma once

#include "apps/log_output.hpp"
#include "base/time.hpp"

#include <glog/logging.h>

namespace bilberrytally::app
{
//! Writes each log message to standard output, as one line of key=value pairs.
//! Limits the rate of informational lines; warnings and errors always pass.
//! Lines that the reader of standard output does not take in time are dropped,
//! so that the program never waits for it.
class structured_log : public google::LogSink
{
public:
    //! Redirects glog to this object; only one may exist at a time. \p level is
    //! the lowest severity written: 0 info, 1 warning, 2 error. Informational
    //! lines are buffered for \p flush_s seconds at most; warnings and errors
    //! are flushed at once.
    structured_log(const char* program, unsigned level, unsigned flush_s);
    ~structured_log() override;
    structured_log(const structured_log&) = delete;
    structured_log& operator=(const structured_log&) = delete;

    //! Called by glog for each message.
    void send(
        google::LogSeverity severity, const char* full_filename,
        const char* base_filename, int line, const google::LogMessageTime& time,
        const char* message, std::size_t length) override;

private:
    //! Counts an informational line. False if the limit of the current second
    //! is reached; the number of lines left out is logged with a later line.
    bool admit_info_line();

    log_output output;
    base::time_ms window_start{INT64_MIN / 2};
    std::uint32_t lines_in_window{0};
    std::uint32_t left_out{0};
    base::duration_ms flush_interval;
    base::time_ms last_flush;
};
} // namespace bilberrytally::app
