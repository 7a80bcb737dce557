#pragma once

#include <cstddef>

/** Bytes that this test program has allocated so far with `new`, whether freed since or not. */
std::size_t allocatedBytes();
