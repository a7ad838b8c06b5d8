#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "apps/log_output.hpp"

#include <doctest/doctest.h>

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using bilberrytally::app::log_output;

namespace
{
//! A pipe, closed with the object.
class open_pipe
{
public:
    open_pipe()
    {
        REQUIRE(pipe(this->ends.data()) == 0);
    }

    ~open_pipe()
    {
        close(this->ends[0]);
        close(this->ends[1]);
    }

    open_pipe(const open_pipe&) = delete;
    open_pipe& operator=(const open_pipe&) = delete;

    int writing_end() const
    {
        return this->ends[1];
    }

    //! All that can be read at once.
    std::string read_all() const
    {
        fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> part{};
        ssize_t count = 0;
        while ((count = read(this->ends[0], part.data(), part.size())) > 0)
        {
            text.append(part.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

private:
    std::array<int, 2> ends{};
};
} // namespace

TEST_CASE("lines are written in order")
{
    const open_pipe pipe;
    log_output output(pipe.writing_end());
    output.add("one\n");
    output.add("two\n");
    output.flush();
    CHECK(pipe.read_all() == "one\ntwo\n");
}

// Guards against a program that hangs since nobody reads its log.
TEST_CASE("without a reader lines are dropped and counted, and nothing waits")
{
    const open_pipe pipe;
    log_output output(pipe.writing_end());
    const std::string line = std::string(99, 'x') + '\n';
    constexpr int many_lines = 10000;
    for (int i = 0; i < many_lines; ++i)
    {
        output.add(line);
        output.flush();
    }
    const auto first = pipe.read_all();
    CHECK(first.size() < many_lines * line.size());
    CHECK(first.size() % line.size() == 0);
    output.flush();
    const auto second = pipe.read_all();
    output.add("last\n");
    output.flush();
    const auto rest = pipe.read_all();
    CHECK(rest.find("event=lines_dropped count=") != std::string::npos);
    CHECK(rest.ends_with("last\n"));
}
