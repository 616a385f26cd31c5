#pragma once

// Include this header last: Criterion defines macros that break Boost headers.

#include <string>

#include <criterion/criterion.h>

/// Fails the test with the text of both values when they differ.
#define EXPECT_EQUAL(actual, expected)                                                   \
    cr_expect((actual) == (expected), "%s is not %s", #actual, #expected)
