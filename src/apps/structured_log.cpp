#include "apps/structured_log.hpp"

#include <iomanip>
#include <iostream>
#include <string_view>

namespace bilberrytally::app
{
namespace
{
constexpr int first_year = 1900;
constexpr int microsecond_digits = 6;
constexpr std::int64_t ms_per_s = 1000;
} // namespace

structured_log::structured_log(
    const char* program, unsigned level, unsigned flush_s)
    : flush_interval{static_cast<std::int64_t>(flush_s) * ms_per_s},
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
    std::clog.flush();
}

void structured_log::send(
    google::LogSeverity severity, const char*, const char* base_filename,
    int line, const google::LogMessageTime& time, const char* message,
    std::size_t length)
{
    std::clog << std::setfill('0') << "time=" << first_year + time.year() << '-'
              << std::setw(2) << 1 + time.month() << '-' << std::setw(2)
              << time.day() << 'T' << std::setw(2) << time.hour() << ':'
              << std::setw(2) << time.min() << ':' << std::setw(2) << time.sec()
              << '.' << std::setw(microsecond_digits) << time.usec()
              << " level=" << google::GetLogSeverityName(severity)
              << " source=" << base_filename << ':' << line << ' '
              << std::string_view(message, length) << '\n';
    const auto now = base::now();
    if (severity > google::GLOG_INFO ||
        now - this->last_flush >= this->flush_interval)
    {
        std::clog.flush();
        this->last_flush = now;
    }
}
} // namespace bilberrytally::app
