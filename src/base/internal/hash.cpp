#include "base/hash.hpp"

#include <cstdio>
#include <random>
#include <xxhash.h>

namespace bilberrytally::base
{
std::uint64_t hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hash_parts(std::initializer_list<std::string_view> parts)
{
    std::uint64_t seed = parts.size();
    for (const auto part : parts)
    {
        seed = hash(part, seed);
    }
    return seed;
}

std::uint64_t combine(std::uint64_t first, std::uint64_t second)
{
    return XXH3_64bits_withSeed(&first, sizeof(first), second);
}

std::uint64_t random_bits()
{
    thread_local std::mt19937_64 generator = []
    {
        std::random_device source;
        std::seed_seq seed{source(), source(), source(), source()};
        return std::mt19937_64(seed);
    }();
    return generator();
}

std::string to_hex(std::uint64_t value)
{
    constexpr std::size_t digits = 16;
    char text[digits + 1];
    std::snprintf(
        text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
    return {text, digits};
}
} // namespace bilberrytally::base
