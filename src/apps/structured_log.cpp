#include "apps/structured_log.hpp"

#include <iomanip>
#include <sstream>
#include <string_view>
#include <unistd.h>

namespace bilberrytally::app
{
namespace
{
constexpr int first_year = 1900;
constexpr int microsecond_digits = 6;
constexpr std::int64_t ms_per_s = 1000;
constexpr base::duration_ms rate_window{ms_per_s};
//! Limit of informational lines, so that logging stays cheap under load;
//! warnings and errors always pass.
constexpr std::uint32_t max_lines_per_s = 200;
} // namespace

structured_log::structured_log(
    const char* program, unsigned level, unsigned flush_s)
    : output(STDOUT_FILENO),
      flush_interval{static_cast<std::int64_t>(flush_s) * ms_per_s},
      last_flush(base::now())
{
    FLAGS_minloglevel = static_cast<int>(level);
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    for (int i = google::GLOG_INFO; i < google::NUM_SEVERITIES; ++i)
    {
        google::SetLogDestination(i, "");
    }
    google::InitGoogleLogging(program);
    google::AddLogSink(this);
}

structured_log::~structured_log()
{
    google::RemoveLogSink(this);
    google::ShutdownGoogleLogging();
    this->output.flush();
}

bool structured_log::admit_info_line()
{
    const auto now = base::now();
    if (now - this->window_start >= rate_window)
    {
        if (this->left_out > 0)
        {
            this->output.add(
                "level=INFO event=lines_left_out count=" +
                std::to_string(this->left_out) + '\n');
        }
        this->window_start = now;
        this->lines_in_window = 0;
        this->left_out = 0;
    }
    if (this->lines_in_window >= max_lines_per_s)
    {
        ++this->left_out;
        return false;
    }
    ++this->lines_in_window;
    return true;
}

void structured_log::send(
    google::LogSeverity severity, const char*, const char* base_filename,
    int line, const google::LogMessageTime& time, const char* message,
    std::size_t length)
{
    if (severity == google::GLOG_INFO && !this->admit_info_line())
    {
        return;
    }
    std::ostringstream text;
    text << std::setfill('0') << "time=" << first_year + time.year() << '-'
         << std::setw(2) << 1 + time.month() << '-' << std::setw(2)
         << time.day() << 'T' << std::setw(2) << time.hour() << ':'
         << std::setw(2) << time.min() << ':' << std::setw(2) << time.sec()
         << '.' << std::setw(microsecond_digits) << time.usec()
         << " level=" << google::GetLogSeverityName(severity)
         << " source=" << base_filename << ':' << line << ' '
         << std::string_view(message, length) << '\n';
    this->output.add(text.str());
    const auto now = base::now();
    if (severity > google::GLOG_INFO ||
        now - this->last_flush >= this->flush_interval)
    {
        this->output.flush();
        this->last_flush = now;
    }
}
} // namespace bilberrytally::app
