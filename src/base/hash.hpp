#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace bilberrytally::base
{
//! 64-bit xxHash (XXH3) of one text.
std::uint64_t hash(std::string_view text, std::uint64_t seed = 0);

//! Hash of several parts; part borders count.
std::uint64_t hash_parts(std::initializer_list<std::string_view> parts);

//! Order-dependent combination of two hashes.
std::uint64_t combine(std::uint64_t first, std::uint64_t second);

//! Random 64 bits; each thread's generator is seeded by the system.
std::uint64_t random_bits();

//! 16 lower-case hexadecimal digits.
std::string to_hex(std::uint64_t value);
} // namespace bilberrytally::base
