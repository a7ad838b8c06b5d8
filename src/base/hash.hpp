#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace bilberrytally::base
{
//! Computes the 64-bit xxHash (XXH3) of a text.
std::uint64_t hash(std::string_view text, std::uint64_t seed = 0);

//! Hashes a list of parts. The boundaries between the parts are significant:
//! {"ab", "c"} and {"a", "bc"} have different hashes.
std::uint64_t hash_parts(std::initializer_list<std::string_view> parts);

//! Combines two hashes; the order of the arguments matters.
std::uint64_t combine(std::uint64_t first, std::uint64_t second);

//! Returns 64 random bits. Each thread has its own generator, seeded from
//! std::random_device. Not for cryptographic use.
std::uint64_t random_bits();

//! Formats a value as 16 lower-case hexadecimal digits.
std::string to_hex(std::uint64_t value);
} // namespace bilberrytally::base
