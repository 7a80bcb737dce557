#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

/** Checks a RapidCheck property; a counterexample fails the CppUnit test. */
#define CHECK_PROPERTY(description, ...) \
    CPPUNIT_ASSERT_MESSAGE(description, rc::check(description, __VA_ARGS__))
